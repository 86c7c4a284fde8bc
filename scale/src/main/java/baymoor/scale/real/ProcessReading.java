package baymoor.scale.real;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the kernel says of a process.
 *
 * @param cpu         of all its threads
 * @param memoryBytes resident
 */
record ProcessReading(CpuParts cpu, long memoryBytes) {

    private static final String RESIDENT = "VmRSS:";
    private static final int BYTES_A_KILOBYTE = 1024;
    /** The kernel counts a process's time in hundredths of a second, whatever its clock does. */
    private static final long NANOS_A_TICK = 10_000_000;

    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;
    private static final String DECISIONS = "decisions";
    private static final String NETWORK = "Nio";

    /** Reads it, all zero where the process is gone. */
    static ProcessReading of(long pid) {
        Path folder = Path.of("/proc", Long.toString(pid));
        try {
            long decisions = threads(folder, DECISIONS);
            long network = threads(folder, NETWORK);
            long machine = Math.max(0, whole(folder) - decisions - network);
            return new ProcessReading(
                    new CpuParts(decisions, network, machine), resident(Files.readAllLines(folder.resolve("status"))));
        } catch (IOException e) {
            return new ProcessReading(new CpuParts(0, 0, 0), 0);
        }
    }

    /** What follows the name, which may hold blanks and stands in brackets. */
    private static long whole(Path folder) throws IOException {
        String stat = Files.readString(folder.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS])) * NANOS_A_TICK;
    }

    private static long threads(Path folder, String prefix) throws IOException {
        try (Stream<Path> threads = Files.list(folder.resolve("task"))) {
            return threads.mapToLong(thread -> thread(thread, prefix)).sum();
        }
    }

    private static long thread(Path thread, String prefix) {
        try {
            boolean meant = Files.readString(thread.resolve("comm")).startsWith(prefix);
            return meant
                    ? Long.parseLong(
                            Files.readString(thread.resolve("schedstat")).split(" ")[0])
                    : 0;
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
