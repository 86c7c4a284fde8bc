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

public class ConfigFileWatcherTest {

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.getRoot().toPath().resolve(name), text);
    }

    @Test
    public void aChangeIsReportedOnceAfterTheFileIsUnchangedBetweenTwoPolls() throws IOException {
        ConfigFileWatcher watcher = new ConfigFileWatcher(write("config", "one"));
        assertFalse(watcher.checkForChange());
        write("config", "half");
        assertFalse("it may still be incomplete", watcher.checkForChange());
        write("config", "whole now");
        assertFalse(watcher.checkForChange());
        assertTrue(watcher.checkForChange());
        assertFalse(watcher.checkForChange());
    }

    @Test
    public void aReplacedFileAndADeletedAndRecreatedFileAreReported() throws IOException {
        Path path = write("config", "one");
        ConfigFileWatcher watcher = new ConfigFileWatcher(path);
        Files.move(write("other", "two"), path, StandardCopyOption.REPLACE_EXISTING);
        assertFalse(watcher.checkForChange());
        assertTrue("same size, but another file", watcher.checkForChange());
        Files.delete(path);
        assertFalse(watcher.checkForChange());
        assertFalse(watcher.checkForChange());
        write("config", "three");
        assertFalse(watcher.checkForChange());
        assertTrue(watcher.checkForChange());
    }
}
