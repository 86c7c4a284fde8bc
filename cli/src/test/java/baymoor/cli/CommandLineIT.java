package baymoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.json.JSONObject;
import org.junit.Test;

/** The built command line, as its launcher starts it. */
public class CommandLineIT {

    private static String fingerprint(String heap) throws IOException, InterruptedException {
        BuiltProgram.Ran ran = BuiltProgram.run(
                "java",
                heap,
                "-jar",
                "cli/target/baymoor-cli.jar",
                "emulate",
                "run",
                "examples/scenarios/bad-routers.toml",
                "--json",
                "-");
        assertEquals(ran.out(), 0, ran.code());
        return new JSONObject(ran.out().substring(ran.out().indexOf('{'))).getString("event_log_sha256");
    }

    @Test
    public void anotherJvmWithAnotherHeapReplaysTheSameBytes() throws Exception {
        assertEquals(fingerprint("-Xmx96m"), fingerprint("-Xmx512m"));
    }

    @Test
    public void theLauncherStartsTheCommandLineFromAnywhere() throws Exception {
        BuiltProgram.Ran ran =
                BuiltProgram.run("sh", "-c", "cd / && " + Path.of("bin/baymoor").toAbsolutePath() + " version");
        assertEquals(ran.out(), 0, ran.code());
        assertTrue(ran.out(), ran.out().startsWith("baymoor "));
    }

    @Test
    public void theLauncherTellsAConfigurationThatCannotBeServed() throws Exception {
        BuiltProgram.Ran ran = BuiltProgram.run("bin/baymoor", "serve", "deploy/balancer.toml");
        assertEquals(ran.out(), 1, ran.code());
        assertTrue(ran.out(), ran.out().contains("config: not JSON"));
    }

    @Test
    public void theDemoEndsByItselfWithNoRuleBroken() throws Exception {
        for (String site : new String[] {"asked", "pushed"}) {
            BuiltProgram.Ran ran = BuiltProgram.run("bin/baymoor", "demo", "--seconds", "6", "--site", site);
            assertEquals(ran.out(), 0, ran.code());
            assertTrue(ran.out(), ran.out().contains("rules broken             none"));
        }
    }
}
