package baymoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Test;
import picocli.CommandLine;

public class PlacesCommandTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... words) {
        CommandLine line = Main.commandLine();
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        return line.execute(words);
    }

    @Test
    public void theExampleIsGoodAndWithinTheBudget() {
        assertEquals(0, run("places", "deploy/places.toml"));
        assertTrue(out.toString(), out.toString().contains("good: 640 balancers"));
        assertTrue(out.toString(), out.toString().contains("site      49, of 14 children at the most"));
        assertTrue(out.toString(), out.toString().contains("with 3 leases: up to 42 messages"));
    }

    @Test
    public void aMistakeIsOneLineAndUsage() throws Exception {
        Path bad = Files.createTempFile("places", ".toml");
        Files.writeString(bad, "balancers = 0\n");
        assertEquals(2, run("places", bad.toString()));
        assertEquals(
                bad + ":1: balancers is 0, not from 1 to 10000", err.toString().strip());
        Files.delete(bad);
        assertEquals(2, run("places", bad.toString()));
        assertTrue(err.toString(), err.toString().contains("can't be read"));
    }
}
