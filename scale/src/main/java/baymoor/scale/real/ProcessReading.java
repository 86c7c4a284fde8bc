package baymoor.scale.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the kernel says of a process.
 *
 * @param cpuNanos    processor time of all its threads that live
 * @param memoryBytes resident
 */
record ProcessReading(long cpuNanos, long memoryBytes) {

    private static final String RESIDENT = "VmRSS:";
    private static final int BYTES_A_KILOBYTE = 1024;

    /** Reads it, all zero where the process is gone. */
    static ProcessReading of(long pid) {
        Path folder = Path.of("/proc", Long.toString(pid));
        try (Stream<Path> threads = Files.list(folder.resolve("task"))) {
            long cpu = 0;
            for (Path thread : (Iterable<Path>) threads::iterator) {
                cpu += cpu(thread);
            }
            return new ProcessReading(cpu, resident(Files.readAllLines(folder.resolve("status"))));
        } catch (IOException e) {
            return new ProcessReading(0, 0);
        }
    }

    private static long cpu(Path thread) {
        try {
            return Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ")[0]);
        } catch (IOException e) {
            return 0; // it has just ended
        }
    }

    private static long resident(List<String> lines) {
        return lines.stream()
                        .filter(line -> line.startsWith(RESIDENT))
                        .map(line -> line.replaceAll("[^0-9]", ""))
                        .mapToLong(Long::parseLong)
                        .findFirst()
                        .orElse(0)
                * BYTES_A_KILOBYTE;
    }
}
