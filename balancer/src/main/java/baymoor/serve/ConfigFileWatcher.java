package baymoor.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.Objects;

/**
 * Polls the configuration file for changes, for processes that do not receive SIGHUP: a signal that the parent ignores stays
 * ignored in its child processes, as with {@code nohup}, and the JVM then installs no handler.
 */
final class ConfigFileWatcher {

    private static final long POLL_INTERVAL_MILLIS = 500;

    private final Path path;
    private Version reported;
    private Version lastObserved;

    /** The attributes by which versions of the file are distinguished. */
    private record Version(FileTime modified, long size, Object inode) {

        static Version of(Path path) {
            try {
                BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
                return new Version(attributes.lastModifiedTime(), attributes.size(), attributes.fileKey());
            } catch (IOException e) {
                return null; // absent while it is being replaced
            }
        }
    }

    /** Records the present version; must be called before the file is first read, so that no change is missed. */
    ConfigFileWatcher(Path path) {
        this.path = path;
        reported = Version.of(path);
        lastObserved = reported;
    }

    /** Returns whether the file has a new version that has not changed since the last check, and reports each version once. */
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

    /** Starts a daemon thread that runs the task after each change. */
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
