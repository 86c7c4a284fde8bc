package baymoor.serve;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.config.Config;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.Map;
import org.junit.Test;

/** The start of a balancer: the JVM's warm-up, its heap options and the start command. */
public class WarmUpTest {

    private static final String SMALLEST_HEAP = "-Xms16m -Xmx16m";

    @Test
    public void everyWarmUpRequestIsAnswered() throws Exception {
        String config = Files.readString(Path.of("deploy/rehearsal.json"));
        assertTrue(WarmUp.run(Config.parse(config, Map.of()).decisionSettings(), 100));
    }

    @Test
    public void theHeapOptionsFollowTheConfiguredMemoryLimit() throws Exception {
        String[][] cases = {
            {"{\"limits\":{\"memory_mb\":128}}", "-Xms48m -Xmx66m"},
            {"{\"limits\": {\"sockets\": 9, \"memory_mb\" : 64 }}", "-Xms18m -Xmx18m"},
            {"{\"limits\":{\"memory_mb\":32}}", "-Xms16m -Xmx16m"},
            {"{\"limits\":{\"memory_mb\":2048}}", "-Xms48m -Xmx96m"},
            {"{\n \"limits\": {\n  \"memory_mb\"\n:\n128\n}}", "-Xms48m -Xmx66m"},
            {"{\"limits\":{\"memory_mb\":99999999999999999999}}", "-Xms48m -Xmx96m"},
            {"{\"limits\":{\"memory_mb\":\"x64\"}}", SMALLEST_HEAP},
            {"{\"limits\":{\"memory_mb\":-5,\"sockets\":1024}}", SMALLEST_HEAP},
            {"{\"limits\":{\"memory_mb\":0128}}", SMALLEST_HEAP},
            {"{\"limits\":{\"memory_mb\":null,\"sockets\":1024}}", SMALLEST_HEAP},
            {"{\"sockets\":1024}", SMALLEST_HEAP},
            {"", SMALLEST_HEAP},
        };
        Path file = Files.createTempFile("config", ".json");
        for (String[] c : cases) {
            Files.writeString(file, c[0]);
            assertEquals(c[0], c[1], heapOptions(file.toString()));
        }
        Files.delete(file);
        assertEquals(SMALLEST_HEAP, heapOptions(file.toString()));
        assertEquals("a directory", SMALLEST_HEAP, heapOptions("deploy"));
        assertEquals("not set", SMALLEST_HEAP, heapOptions(""));
    }

    /** Guards against shell patterns over the whole text, which take quadratic time; on one line and on several. */
    @Test(timeout = 120_000)
    public void readingTheMemoryLimitTakesTimeLinearInTheFileSize() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        for (String separator : new String[] {"", "\n "}) {
            String router = separator + "{\"name\":\"s-0444a832\"," + separator + "\"address\":\"127.11.0.2:6379\","
                    + separator + "\"status\":\"in_service\"," + separator + "\"zone\":\"* [a-z]? memory\"}";
            Files.writeString(
                    file,
                    "{\"known\":{\"endpoints\":[" + String.join(",", Collections.nCopies(5_000, router)) + "]},"
                            + separator + "\"limits\":{\"memory_mb\":128}}");
            assertEquals("-Xms48m -Xmx66m", heapOptions(file.toString()));
        }
        Files.delete(file);
    }

    /** Returns the options that the script derives from the file; with an empty PATH the shell can run no other program. */
    private static String heapOptions(String file) throws Exception {
        ProcessBuilder shell = new ProcessBuilder("/bin/sh", "-c", "PATH=; . ./deploy/heap.sh; echo \"$heap\"");
        shell.environment().put("ROUTER_CONFIG", file);
        shell.redirectErrorStream(true);
        return new String(shell.start().getInputStream().readAllBytes(), StandardCharsets.US_ASCII).trim();
    }

    /** Guards against a subshell or a pipe in the start command, which fails where the platform forbids fork. */
    @Test
    public void theStartCommandForksNoProcess() throws Exception {
        String runCommand = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        for (String script : new String[] {
            runCommand,
            String.join(
                    "\n",
                    Files.readAllLines(Path.of("deploy/heap.sh")).stream()
                            .filter(line -> !line.startsWith("#"))
                            .toList())
        }) {
            assertFalse(script, script.contains("$(") && !script.contains("$((") || script.contains("`"));
            String withoutLogicalOperators =
                    script.replace("||", "").replace("&&", "").replace("'' | 0*)", "");
            assertFalse(script, withoutLogicalOperators.contains("|") || withoutLogicalOperators.contains("&"));
        }
        assertTrue(
                runCommand,
                runCommand.contains("; exec java ") && runCommand.contains("-Djava.net.preferIPv4Stack=true"));
    }
}
