package baymoor.serve;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which would end the JVM. The JVM's own support for it is reached by reflection, since the compiler warns of
 * every use of it by name and takes no word against that.
 */
final class Hangup {

    private Hangup() {}

    /**
     * Runs a task, on a thread of the JVM's, each time the signal comes.
     *
     * @return false if it never comes: the process was started with the signal ignored, and the JVM leaves that so
     */
    static boolean handle(Runnable task) throws ReflectiveOperationException {
        Class<?> signal = Class.forName("sun.misc.Signal");
        Class<?> handler = Class.forName("sun.misc.SignalHandler");
        Object calls = Proxy.newProxyInstance(
                Hangup.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        task.run();
                    }
                    return null;
                });
        Object hangup = signal.getConstructor(String.class).newInstance("HUP");
        Object before = signal.getMethod("handle", signal, handler).invoke(null, hangup, calls);
        return before != handler.getField("SIG_IGN").get(null);
    }
}
