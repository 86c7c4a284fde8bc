package baymoor.serve;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Guards against a process that keeps its port and answers nobody after an error has ended one of its threads. */
public class ThreadDeathHandlerTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final Log log = new Log(new PrintStream(out, true), Clock.systemUTC(), "n0", false);
    private final List<Integer> exits = new ArrayList<>();

    /** A process whose other threads go on while one dies. */
    static final class Program {
        public static void main(String[] args) throws InterruptedException {
            Log log = new Log(System.err, Clock.systemUTC(), "n0", false);
            Thread.setDefaultUncaughtExceptionHandler(new ThreadDeathHandler(log, Map::of, Runtime.getRuntime()::halt));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                while (true) {
                    Thread.onSpinWait();
                }
            }));
            new Thread(
                            () -> {
                                throw new OutOfMemoryError("Java heap space");
                            },
                            "io")
                    .start();
            Thread.sleep(TimeUnit.MINUTES.toMillis(1));
        }
    }

    @Test
    public void theProcessEndsAndNamesTheThread() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Program.class.getName())
                .start();
        assertTrue("ended", process.waitFor(30, TimeUnit.SECONDS));
        String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(errorOutput, ThreadDeathHandler.EXIT_INTERNAL_ERROR, process.exitValue());
        assertTrue(errorOutput, errorOutput.contains("ERROR n0 thread-died thread=io"));
    }

    @Test
    public void theLogTellsWhatIsInUse() {
        new ThreadDeathHandler(log, () -> Map.of("held", "7"), exits::add)
                .uncaughtException(new Thread("io"), new IllegalStateException("x"));
        assertTrue(out.toString(), out.toString().contains("held=7"));
        assertEquals(List.of(ThreadDeathHandler.EXIT_INTERNAL_ERROR), exits);
    }

    @Test
    public void theProcessEndsEvenIfNothingCanBeLogged() {
        try {
            new ThreadDeathHandler(
                            log,
                            () -> {
                                throw new OutOfMemoryError("Java heap space");
                            },
                            exits::add)
                    .uncaughtException(new Thread("io"), new OutOfMemoryError("Java heap space"));
        } catch (OutOfMemoryError e) {
            // The error of the log; the process would have ended before.
        }
        assertEquals(List.of(ThreadDeathHandler.EXIT_INTERNAL_ERROR), exits);
    }
}
