package baymoor.scale.run;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Watches whether the machine itself was the limit: how late a thread that does nothing else runs, and what the kernel drops. */
final class MachineWatch implements Runnable {

    /** How the machine stood a run: how late a thread was there, in its own time, and datagrams dropped. */
    record State(double lateMillis, long dropped) {}

    private static final Path UDP = Path.of("/proc/net/udp");
    private static final long STEP_MILLIS = 10;
    private static final long LONGEST_MICROS = 60_000_000;
    private static final int LOCAL_ADDRESS = 1;

    private final String mark;
    private final Histogram lateness = new Histogram(LONGEST_MICROS, 2);
    private volatile boolean stopped;

    /** @param own third figure of the addresses of this run */
    MachineWatch(int own) {
        mark = String.format(Locale.ROOT, "%02X", own);
    }

    void start() {
        Thread thread = new Thread(this, "machine-watch");
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        while (!stopped) {
            long began = System.nanoTime();
            try {
                Thread.sleep(STEP_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            long late = (System.nanoTime() - began) / 1000 - STEP_MILLIS * 1000;
            synchronized (lateness) {
                lateness.recordValue(Math.min(LONGEST_MICROS, Math.max(0, late)));
            }
        }
    }

    void reset() {
        synchronized (lateness) {
            lateness.reset();
        }
    }

    double latenessP99Millis() {
        synchronized (lateness) {
            return lateness.getValueAtPercentile(99) / 1000.0;
        }
    }

    /** Datagrams that the kernel dropped so far at sockets of this run that are still open. */
    long drops() throws IOException {
        long sum = 0;
        for (String line : Files.readAllLines(UDP)) {
            String[] fields = line.trim().split("\\s+");
            if (ours(fields[LOCAL_ADDRESS])) {
                sum += Long.parseLong(fields[fields.length - 1]);
            }
        }
        return sum;
    }

    /** The kernel writes 127.1.2.3 as 0302017F. */
    private boolean ours(String address) {
        return address.length() > 8 && address.startsWith("7F", 6) && address.startsWith(mark, 2);
    }
}
