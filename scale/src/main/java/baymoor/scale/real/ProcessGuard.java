package baymoor.scale.real;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * A process that ends others when the one that started it is gone, however that ended. It is told on standard input whom to watch
 * over, {@code add PID} and {@code remove PID}, and acts when that input ends. A handle knows when its process started, so that
 * another one with the same number stays untouched.
 */
public final class ProcessGuard {

    private static final String ADD = "add ";
    private static final String REMOVE = "remove ";

    private ProcessGuard() {}

    /** Watches until its input ends. */
    public static void main(String[] args) throws IOException {
        Set<ProcessHandle> watched = new HashSet<>();
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (line.startsWith(ADD)) {
                ProcessHandle.of(Long.parseLong(line.substring(ADD.length()))).ifPresent(watched::add);
            } else if (line.startsWith(REMOVE)) {
                long pid = Long.parseLong(line.substring(REMOVE.length()));
                watched.removeIf(handle -> handle.pid() == pid);
            }
        }
        watched.forEach(ProcessHandle::destroyForcibly);
    }
}
