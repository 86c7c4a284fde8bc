package baymoor.serve;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which by default ends the JVM. {@code sun.misc.Signal} is called by reflection, since the compiler warns of each
 * direct use and the warning cannot be suppressed.
 */
final class SighupHandler {

    private SighupHandler() {}

    /**
     * Runs a task on a JVM thread each time the signal arrives.
     *
     * @return false if the process was started with SIGHUP ignored, in which case the JVM leaves it ignored
     */
    static boolean install(Runnable task) throws ReflectiveOperationException {
        Class<?> signalClass = Class.forName("sun.misc.Signal");
        Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
        Object handlerProxy = Proxy.newProxyInstance(
                SighupHandler.class.getClassLoader(), new Class<?>[] {handlerClass}, (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        task.run();
                    }
                    return null;
                });
        Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
        Object previousHandler =
                signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, sighup, handlerProxy);
        return previousHandler != handlerClass.getField("SIG_IGN").get(null);
    }
}
