package baymoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.json.JSONObject;
import org.junit.Test;
import picocli.CommandLine;

/** What the commands say, and with what exit code. */
public class CommandLineTest {

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... words) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        CommandLine line = Main.commandLine();
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        return line.execute(words);
    }

    @Test
    public void everyCommandHasHelp() {
        String[][] commands = {
            {},
            {"serve"},
            {"check"},
            {"demo"},
            {"emulate"},
            {"emulate", "run"},
            {"emulate", "check"},
            {"emulate", "serve"},
            {"emulate", "calibrate"},
            {"emulate", "bench"},
            {"scale"},
            {"scale", "run"},
            {"version"}
        };
        for (String[] command : commands) {
            String[] words = java.util.Arrays.copyOf(command, command.length + 1);
            words[command.length] = "--help";
            assertEquals(String.join(" ", words), 0, run(words));
            assertTrue(out.toString(), out.toString().startsWith("Usage: baymoor"));
        }
    }

    @Test
    public void whatCannotBeReadIsUsage() {
        assertEquals(2, run("frobnicate"));
        assertEquals(2, run("emulate"));
        assertEquals(2, run("emulate", "run"));
        assertEquals(2, run("demo", "--seconds", "soon"));
        assertEquals(2, run("version", "--log-level", "LOUD"));
        assertTrue(err.toString(), err.toString().contains("no such level: LOUD"));
    }

    @Test
    public void aGoodConfigurationIsDescribedAndABadOneNamedInALine() throws Exception {
        assertEquals(0, run("check", "deploy/rehearsal.json"));
        assertTrue(out.toString(), out.toString().contains("good: balancer rehearsal of 1"));
        Path bad = Files.createTempFile("bad", ".json");
        Files.writeString(bad, "{\"name\":\"n\",\"listen\":\"nowhere\"}");
        assertEquals(1, run("check", bad.toString()));
        assertEquals(
                "baymoor check: " + bad + ": config: listen is not an address with a port: nowhere",
                err.toString().strip());
        Files.delete(bad);
        assertEquals(1, run("check", bad.toString()));
        assertTrue(err.toString(), err.toString().contains("can't be read"));
    }

    @Test
    public void everyMistakeOfAScenarioIsNamed() throws Exception {
        Path bad = Files.createTempFile("bad", ".toml");
        Files.writeString(bad, "duration = 5\n[traffic]\nrate = \"9\"\n");
        assertEquals(1, run("emulate", "check", "examples/scenarios/scan.toml", bad.toString()));
        assertTrue(out.toString(), out.toString().startsWith("examples/scenarios/scan.toml: good: 4 balancers"));
        assertEquals(
                2, err.toString().lines().filter(l -> l.startsWith(bad + ":")).count());
        assertEquals(1, run("emulate", "run", bad.toString()));
        Files.delete(bad);
    }

    @Test
    public void aRunGivesATableOrJson() throws Exception {
        Path file = Files.createTempFile("short", ".toml");
        Files.writeString(file, "warm_up = \"1s\"\nduration = \"3s\"\n");
        assertEquals(0, run("emulate", "run", file.toString()));
        assertTrue(out.toString(), out.toString().contains("rules broken             none"));
        assertEquals(0, run("emulate", "run", file.toString(), "--json", "-", "--seed", "5"));
        JSONObject json = new JSONObject(out.toString());
        assertEquals(5, json.getLong("seed"));
        assertEquals(64, json.getString("event_log_sha256").length());
        assertTrue(json.getLong("asked") > 300);
        Files.delete(file);
    }
}
