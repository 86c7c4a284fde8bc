package baymoor.serve;

import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** The configuration file, looked at where no signal tells of its changes. */
public class ConfigFileTest {

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.getRoot().toPath().resolve(name), text);
    }

    @Test
    public void aChangeIsToldOnceAndOnlyWhenTheFileHasStayedTheSameForALook() throws IOException {
        ConfigFile file = new ConfigFile(write("config", "one"));
        assertFalse(file.changed());
        write("config", "half");
        assertFalse("it may still be being written", file.changed());
        write("config", "whole now");
        assertFalse(file.changed());
        assertTrue(file.changed());
        assertFalse(file.changed());
    }

    @Test
    public void aFileThatIsReplacedByAnotherOrAwayForAWhileIsToldOf() throws IOException {
        Path path = write("config", "one");
        ConfigFile file = new ConfigFile(path);
        Files.move(write("other", "two"), path, StandardCopyOption.REPLACE_EXISTING);
        assertFalse(file.changed());
        assertTrue("as long, but another file", file.changed());
        Files.delete(path);
        assertFalse(file.changed());
        assertFalse(file.changed());
        write("config", "three");
        assertFalse(file.changed());
        assertTrue(file.changed());
    }
}
