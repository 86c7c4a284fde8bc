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
final class ConfigFile {

    private static final long LOOK_MILLIS = 500;

    private final Path path;
    private Version read;
    private Version lastSeen;

    /** What tells two versions of a file apart. */
    private record Version(FileTime modified, long size, Object inode) {

        static Version of(Path path) {
            try {
                BasicFileAttributes now = Files.readAttributes(path, BasicFileAttributes.class);
                return new Version(now.lastModifiedTime(), now.size(), now.fileKey());
            } catch (IOException e) {
                return null; // it is being replaced
            }
        }
    }

    /** Changes count from now on, so it is to be made before the file is read for the first time. */
    ConfigFile(Path path) {
        this.path = path;
        read = Version.of(path);
        lastSeen = read;
    }

    /** Whether there is a version that was not told of yet and that has stayed the same since the last look. */
    boolean changed() {
        Version now = Version.of(path);
        boolean written = now != null && now.equals(lastSeen);
        lastSeen = now;
        if (!written || Objects.equals(now, read)) {
            return false;
        }
        read = now;
        return true;
    }

    /** Runs a task after each change, on a thread that doesn't keep the program alive. */
    void watch(Runnable task) {
        Thread thread = new Thread(() -> look(task), "config-file");
        thread.setDaemon(true);
        thread.start();
    }

    private void look(Runnable task) {
        try {
            while (true) {
                Thread.sleep(LOOK_MILLIS);
                if (changed()) {
                    task.run();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
