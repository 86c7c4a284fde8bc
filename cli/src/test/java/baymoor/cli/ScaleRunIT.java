package baymoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** The small scale run as an operator starts it: what it must show on a machine of any speed, and that it leaves nothing behind. */
public class ScaleRunIT {

    private static final String QUICK = "examples/scale/quick.toml";
    private static final int HOLLOW = 12;
    private static final int REAL = 4;
    private static final long GONE_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long UP_NANOS = TimeUnit.SECONDS.toNanos(90);
    private static final long LOOK_MILLIS = 50;

    private Path folder;

    @Before
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("scale-run-it-");
    }

    @After
    public void removeFolder() {
        SocketPlay.delete(folder);
    }

    /** The processes whose command line or environment names the folder of this run, but for the tool's own. */
    private List<Long> started() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc"))) {
            return all.filter(process -> process.getFileName().toString().matches("[0-9]+"))
                    .filter(process -> !read(process.resolve("cmdline")).contains("baymoor-cli.jar\0scale"))
                    .filter(process -> read(process.resolve("cmdline")).contains(folder.toString())
                            || read(process.resolve("environ")).contains(folder.toString()))
                    .map(process -> Long.valueOf(process.getFileName().toString()))
                    .toList();
        }
    }

    private static String read(Path file) {
        try {
            return new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1);
        } catch (IOException e) {
            return ""; // it has just ended
        }
    }

    private void awaitNobody() throws IOException, InterruptedException {
        long until = System.nanoTime() + GONE_NANOS;
        while (!started().isEmpty() && System.nanoTime() < until) {
            Thread.sleep(LOOK_MILLIS);
        }
        assertEquals(List.of(), started());
    }

    private void awaitStarted(int count, Process tool) throws IOException, InterruptedException {
        long until = System.nanoTime() + UP_NANOS;
        while (started().size() < count && System.nanoTime() < until && tool.isAlive()) {
            Thread.sleep(LOOK_MILLIS);
        }
        assertTrue("" + started(), started().size() >= count);
    }

    @Test
    public void everybodyKnowsOfEverybodyAndOfEachChange() throws Exception {
        BuiltProgram.Ran ran = BuiltProgram.run(
                "bin/baymoor", "scale", "run", QUICK, "--json", "-", "--keep", folder.toString(), "--log-level", "OFF");
        JSONObject result = new JSONObject(
                ran.out().substring(ran.out().indexOf('{'), ran.out().lastIndexOf('}') + 1));
        JSONArray reasons = result.getJSONArray("reasons");
        assertTrue(
                "only the machine may be a reason not to count: " + reasons,
                IntStream.range(0, reasons.length())
                        .mapToObj(reasons::getString)
                        .allMatch(reason -> reason.startsWith("the machine was the limit: ")));
        assertEquals(ran.out(), reasons.isEmpty() ? 0 : 1, ran.code());
        assertEquals(HOLLOW, result.getJSONObject("size").getInt("hollow"));
        assertEquals(REAL, result.getJSONArray("real").length());
        figuresAreThere(result);
        JSONArray changes = result.getJSONArray("changes");
        assertTrue(changes.toString(), changes.length() >= 2);
        for (int i = 0; i < changes.length(); i++) {
            assertTrue(changes.toString(), changes.getJSONObject(i).getDouble("known100Ms") >= 0);
        }
        awaitNobody();
    }

    private static void figuresAreThere(JSONObject result) {
        JSONObject hollow = result.getJSONObject("hollow");
        for (String figure : List.of(
                "bytesInPerSecond",
                "bytesOutPerSecond",
                "headerBytesInPerSecond",
                "messagesInPerSecond",
                "messagesOutPerSecond",
                "discoveryBytesInPerSecond",
                "cpuControlSecondsPerSecond",
                "cpuServingSecondsPerSecond",
                "memoryBytes",
                "tickMicros",
                "ageP50Ms",
                "ageP99Ms",
                "loadSpread")) {
            assertTrue(figure + " in " + hollow, hollow.getDouble(figure) > 0);
        }
        for (Object each : result.getJSONArray("real")) {
            JSONObject real = (JSONObject) each;
            assertTrue(real.toString(), real.getDouble("messagesInPerSecond") > 0);
            assertTrue(real.toString(), real.getDouble("bytesOutPerSecond") > 0);
            assertTrue(real.toString(), real.getDouble("memoryBytes") > 0);
        }
    }

    @Test
    public void nobodyIsLeftWhereTheToolIsKilledOrInterrupted() throws Exception {
        for (boolean killed : new boolean[] {true, false}) {
            Process tool = new ProcessBuilder("bin/baymoor", "scale", "run", QUICK, "--keep", folder.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            try {
                awaitStarted(REAL + 1, tool);
                if (killed) {
                    tool.destroyForcibly();
                } else {
                    tool.destroy();
                }
                assertTrue(tool.waitFor(1, TimeUnit.MINUTES));
                awaitNobody();
            } finally {
                tool.destroyForcibly();
            }
        }
    }

    @Test
    public void aPlanWithAMistakeIsUsage() throws Exception {
        Path bad = folder.resolve("bad.toml");
        Files.writeString(bad, "[balancers]\nhollow = 4\n[network]\nsame_zone = 5\n");
        BuiltProgram.Ran ran = BuiltProgram.run("bin/baymoor", "scale", "run", bad.toString());
        assertEquals(ran.out(), 2, ran.code());
        assertTrue(ran.out(), ran.out().startsWith(bad + ":4:1: network.same_zone = 5 has no unit"));
        assertEquals(ran.out(), 1, ran.out().strip().lines().count());
    }
}
