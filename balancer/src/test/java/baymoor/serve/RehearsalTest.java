package baymoor.serve;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.config.Config;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.Test;

/** What makes a start quick and keeps it within the memory. */
public class RehearsalTest {

    @Test
    public void allThatIsRehearsedIsAnswered() throws Exception {
        String config = Files.readString(Path.of("deploy/rehearsal.json"));
        assertTrue(Rehearsal.play(Config.parse(config, Map.of()).module(), 100));
    }

    @Test
    public void theHeapGoesWithTheMemoryThatTheConfigurationGrants() throws Exception {
        String[][] cases = {
            {"{\"limits\":{\"memory_mb\":128}}", "-Xms48m -Xmx66m"},
            {"{\"limits\": {\"sockets\": 9, \"memory_mb\" : 64 }}", "-Xms18m -Xmx18m"},
            {"{\"limits\":{\"memory_mb\":32}}", "-Xms16m -Xmx16m"},
            {"{\"limits\":{\"memory_mb\":2048}}", "-Xms48m -Xmx96m"},
            {"{}", "-Xms48m -Xmx90m"},
        };
        Path file = Files.createTempFile("config", ".json");
        for (String[] c : cases) {
            Files.writeString(file, c[0]);
            ProcessBuilder heap = new ProcessBuilder("sh", "deploy/heap.sh");
            heap.environment().put("ROUTER_CONFIG", file.toString());
            byte[] said = heap.start().getInputStream().readAllBytes();
            assertEquals(c[0], c[1], new String(said, StandardCharsets.US_ASCII).trim());
        }
        Files.delete(file);
    }
}
