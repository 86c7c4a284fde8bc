package baymoor.cli;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Runs commands in the folder of the project, as an operator does. */
final class BuiltProgram {

    /** What a command printed on both streams, and its exit code. */
    record Ran(int code, String out) {}

    private BuiltProgram() {}

    static Ran run(String... command) throws IOException, InterruptedException {
        Path out = Files.createTempFile("out", ".txt");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start();
        boolean ended = process.waitFor(120, TimeUnit.SECONDS);
        process.destroyForcibly();
        String text = Files.readString(out, StandardCharsets.UTF_8);
        Files.delete(out);
        assertTrue("did not end: " + text, ended);
        return new Ran(process.exitValue(), text);
    }
}
