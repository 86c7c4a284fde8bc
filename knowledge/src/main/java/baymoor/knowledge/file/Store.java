package baymoor.knowledge.file;

import baymoor.knowledge.data.Knowledge;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;

/**
 * A folder of snapshots, the newest under the highest number. Each is written under another name, forced to the disk,
 * renamed, and the folder forced too: whatever is cut off when, a file under a snapshot's name is whole or refused, and
 * reading goes back to the newest whole one. One process at a time writes in a folder.
 *
 * <p>Every failure is one line to the log; none is thrown where service could go on. For one thread, which is not the
 * decision thread.
 */
public final class Store implements Closeable {

    private static final String NAME = "knowledge-%016d.bin";
    private static final String PATTERN = "knowledge-[0-9]{16}\\.bin";
    private static final String UNFINISHED = "knowledge.tmp";
    private static final String LOCK = "lock";

    private final Path folder;
    private final int kept;
    private final Consumer<String> log;
    private FileChannel lockFile;
    private FileLock lock;
    private long number;

    /**
     * @param kept how many snapshots stay, 1 or more
     * @param log  gets a line for whatever goes wrong
     */
    public Store(Path folder, int kept, Consumer<String> log) {
        if (kept < 1) {
            throw new IllegalArgumentException("at least one snapshot is kept");
        }
        this.folder = folder;
        this.kept = kept;
        this.log = log;
    }

    /** Makes the folder and takes its lock; false, with a line, if nothing can be written here. */
    public boolean open() {
        try {
            Files.createDirectories(folder);
            lockFile = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            lock = lockFile.tryLock();
            if (lock == null) {
                log.accept("knowledge: " + folder + " belongs to another instance; nothing is written there");
            }
            List<Path> all = snapshots();
            number = all.isEmpty() ? 0 : number(all.get(0));
        } catch (OverlappingFileLockException e) {
            log.accept("knowledge: " + folder + " belongs to another instance; nothing is written there");
        } catch (IOException e) {
            log.accept("knowledge: " + folder + " can't be used: " + e);
        }
        return lock != null;
    }

    /** The snapshots there are, the newest first. */
    public List<Path> snapshots() throws IOException {
        List<Path> all = new ArrayList<>();
        if (Files.isDirectory(folder)) {
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
                for (Path file : files) {
                    if (file.getFileName().toString().matches(PATTERN)) {
                        all.add(file);
                    }
                }
            }
        }
        Collections.sort(all);
        Collections.reverse(all);
        return all;
    }

    private static long number(Path file) {
        return Long.parseLong(file.getFileName().toString().replaceAll("[^0-9]", ""));
    }

    /** The newest whole snapshot, or null. What is passed over on the way there is a line each. */
    public Knowledge load() {
        try {
            for (Path file : snapshots()) {
                try {
                    return read(file);
                } catch (IOException e) {
                    log.accept("knowledge: " + file + " is left out: " + e.getMessage());
                }
            }
        } catch (IOException e) {
            log.accept("knowledge: " + folder + " can't be read: " + e);
        }
        return null;
    }

    /** One file, which must be whole. */
    public static Knowledge read(Path file) throws IOException {
        if (Files.size(file) > Format.MOST_BYTES + 64L) {
            throw new Format.Unreadable("longer than any knowledge");
        }
        return Format.read(Files.readAllBytes(file));
    }

    /** Writes a snapshot; false, with a line, if that can't be done, and then those there are stay as they were. */
    public boolean save(Knowledge knowledge) {
        if (lock == null) {
            return false;
        }
        Path unfinished = folder.resolve(UNFINISHED);
        try {
            try (FileChannel out = FileChannel.open(
                    unfinished,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                ByteBuffer bytes = ByteBuffer.wrap(Format.write(knowledge));
                while (bytes.hasRemaining()) {
                    out.write(bytes);
                }
                out.force(true);
            }
            Files.move(unfinished, folder.resolve(String.format(NAME, number + 1)), StandardCopyOption.ATOMIC_MOVE);
            number++;
            try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
                names.force(true); // or the new name may be lost though the bytes are not
            }
            List<Path> all = snapshots();
            for (Path old : all.subList(Math.min(kept, all.size()), all.size())) {
                Files.deleteIfExists(old);
            }
            return true;
        } catch (IOException e) {
            log.accept("knowledge: a snapshot can't be written: " + e);
            return false;
        }
    }

    @Override
    public void close() {
        try {
            if (lockFile != null) {
                lockFile.close();
            }
        } catch (IOException e) {
            log.accept("knowledge: " + folder + " can't be closed: " + e);
        }
        lock = null;
    }
}
