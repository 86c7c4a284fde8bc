package baymoor.scale.real;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts a {@link ProcessGuard} and tells it whom to watch over. */
final class Guard {

    private static final long END_SECONDS = 3;

    private final Process process;
    private final OutputStream lines;

    Guard() throws IOException {
        // A signal to the whole group must not end the guard before those that it watches over.
        String command = "trap '' INT TERM HUP; exec \"$0\" \"$@\"";
        process = new ProcessBuilder(List.of(
                        "/bin/sh",
                        "-c",
                        command,
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx16m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        ProcessGuard.class.getName()))
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        lines = process.getOutputStream();
    }

    void add(long pid) throws IOException {
        say("add " + pid);
    }

    void remove(long pid) throws IOException {
        say("remove " + pid);
    }

    private synchronized void say(String line) throws IOException {
        lines.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
        lines.flush();
    }

    /** Ends it; whom it still watches over ends too. */
    void close() throws InterruptedException {
        try {
            lines.close();
        } catch (IOException e) {
            // It has ended already.
        }
        if (!process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
    }
}
