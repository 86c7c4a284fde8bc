package baymoor.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;

/**
 * Notices that the configuration file was rewritten or replaced, for a process that SIGHUP can't reach. A signal that a parent ignores
 * stays ignored in the programs it starts, as {@code nohup} does with SIGHUP, and a JVM installs no handler then.
 */
final class ConfigFileWatcher {

    private static final long POLL_INTERVAL_MILLIS = 500;

    private final Path path;
    private Version reported;
    private Version lastObserved;

    /** What tells two versions of a file apart. */
    private record Version(FileTime modified, long size, Object inode) {

        static Version of(Path path) {
            try {
                BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
                return new Version(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
            } catch (IOException e) {
                return null; // it is being replaced
            }
        }
    }

    /** Changes count from now on, so it is to be made before the file is read for the first time. */
    ConfigFileWatcher(Path path) {
        this.path = path;
        reported = Version.of(path);
        lastObserved = reported;
    }

    /** Whether there is a version that was not told of yet and that has stayed the same since the last look. */
    boolean checkForChange() {
        Version current = Version.of(path);
        boolean stable = current != null && current.equals(lastObserved);
        lastObserved = current;
        if (!stable || Objects.equals(current, reported)) {
            return false;
        }
        reported = current;
        return true;
    }

    /** Runs a task after each change, on a thread that doesn't keep the program alive. */
    void watch(Runnable task) {
        Thread thread = new Thread(() -> poll(task), "config-file");
        thread.setDaemon(true);
        thread.start();
    }

    private void poll(Runnable task) {
        try {
            while (true) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
                if (checkForChange()) {
                    task.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
