package baymoor.serve;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntConsumer;
import java.util.function.Supplier;

/**
 * Ends the process when an error ends one of its threads: without its I/O thread, say, a balancer would keep its port and answer
 * nobody, while one that has ended is started again.
 */
final class ThreadDeathHandler implements Thread.UncaughtExceptionHandler {

    /** The exit status of an internal error, as in sysexits.h. */
    static final int EXIT_INTERNAL_ERROR = 70;

    private final Log log;
    private final Supplier<Map<String, String>> memoryInUse;
    private final IntConsumer halt;

    /**
     * Creates a handler.
     *
     * @param memoryInUse returns names and values that are logged with the error
     * @param halt        ends the process with an exit status, without running shutdown hooks, which may need the dead thread
     */
    ThreadDeathHandler(Log log, Supplier<Map<String, String>> memoryInUse, IntConsumer halt) {
        this.log = log;
        this.memoryInUse = memoryInUse;
        this.halt = halt;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable error) {
        try {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("thread", thread.getName());
            fields.put("error", error.toString());
            fields.putAll(memoryInUse.get());
            log.event("ERROR", "thread-died", fields);
        } finally { // logging may fail too where no memory is left
            halt.accept(EXIT_INTERNAL_ERROR);
        }
    }
}
