package baymoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** Which tests the CI run passes over: those that the list of known failures names, and no others. */
public class KnownRedTest {

    private static final String KNOWN_TEST = "mvn -B verify: cli KnownRedTest.anEmptyListPassesOverNone";

    private Path list;

    private record Output(int exitStatus, List<String> lines, String errors) {}

    @Before
    public void createList() throws IOException {
        list = Files.createTempFile("known-red", ".txt");
    }

    @After
    public void deleteList() throws IOException {
        Files.delete(list);
    }

    private Output argumentsFor(String entries) throws IOException, InterruptedException {
        Files.writeString(list, entries);
        Process process = new ProcessBuilder("bash", ".ci/known-red", list.toString()).start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String errors = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(1, TimeUnit.MINUTES));
        return new Output(process.exitValue(), out.lines().toList(), errors);
    }

    @Test
    public void anEmptyListPassesOverNone() throws Exception {
        assertEquals(new Output(0, List.of(), ""), argumentsFor(""));
    }

    @Test
    public void eachNamedTestIsPassedOverAndAllOthersRun() throws Exception {
        Output output = argumentsFor(
                KNOWN_TEST + " (no seed), issue 0.\nreview/0/run.sh (no seed), issue 0.\n" + "mvn -B verify: balancer "
                        + "LayoutTest.packageDependenciesAreLayeredAndAcyclic (no seed), issue 0.\n");
        String excluded =
                ",!KnownRedTest#anEmptyListPassesOverNone,!LayoutTest#packageDependenciesAreLayeredAndAcyclic";
        assertEquals(output.errors(), 0, output.exitStatus());
        assertEquals(
                "-Dtest=Test*,*Test,*Tests,*TestCase" + excluded, output.lines().get(0));
        assertEquals("-Dit.test=IT*,*IT,*ITCase" + excluded, output.lines().get(1));
    }

    /** Guards against an entry that outlives its test and hides nothing, or hides another one by a slip. */
    @Test
    public void anEntryThatNamesNoTestFails() throws Exception {
        for (String name : List.of("cli KnownRedTest.never", "cli NoSuchTest.never", "balancer KnownRedTest.never")) {
            Output output = argumentsFor("mvn -B verify: " + name + " (no seed), issue 0.\n");
            assertNotEquals(name, 0, output.exitStatus());
            assertTrue(output.errors(), output.errors().contains("names a test that does not exist: " + name));
        }
    }
}
