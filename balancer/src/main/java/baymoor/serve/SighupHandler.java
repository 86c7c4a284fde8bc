package baymoor.serve;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which would end the JVM. The JVM's own support for it is reached by reflection, since the compiler warns of
 * every use of it by name and takes no word against that.
 */
final class SighupHandler {

    private SighupHandler() {}

    /**
     * Runs a task, on a thread of the JVM's, each time the signal comes.
     *
     * @return false if it never comes: the process was started with the signal ignored, and the JVM leaves that so
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
