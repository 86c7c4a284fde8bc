package baymoor.knowledge.file;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.knowledge.data.Knowledge;
import baymoor.knowledge.data.Knowledge.Host;
import baymoor.knowledge.policy.Ageing;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/**
 * A process that writes snapshots without end, killed again and again at random moments: what was said to be saved is
 * there, whole. Fifty times here; the long way is {@code mvn -pl knowledge test -Dtest=KillLoopTest -Dkills=1000}.
 */
public class KillLoopTest {

    private static final int HOSTS = 400;

    @Rule
    public final TemporaryFolder temporary = new TemporaryFolder();

    /** Large enough that a write takes a while, and all of it follows from one number. */
    static Knowledge numbered(long n) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host(i, 0, n, n % 1000 + i, n + i, i, 0.5, (n + i) % 2 == 0));
        }
        return new Knowledge("writer", n, 1, hosts, List.of(), null);
    }

    /** The process that is killed. Writes the number of each snapshot once it is saved. */
    public static final class Writer {
        public static void main(String[] args) {
            Store store = new Store(Path.of(args[0]), 3, System.err::println);
            if (!store.open()) {
                System.exit(1);
            }
            Knowledge last = store.load();
            for (long n = last == null ? 1 : last.takenAt() + 1; store.save(numbered(n)); n++) {
                System.out.println(n);
            }
        }
    }

    private Process start() throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xshare:auto",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Writer.class.getName(),
                        temporary.getRoot().toString())
                .start();
    }

    @Test
    public void whatWasSavedIsThereWholeWheneverTheWriterIsKilled() throws Exception {
        Random moments = new Random(42);
        int kills = Integer.getInteger("kills", 50);
        List<String> said = new ArrayList<>();
        long saved = 0;
        for (int i = 0; i < kills; i++) {
            Process writer = start();
            try (BufferedReader out =
                    new BufferedReader(new InputStreamReader(writer.getInputStream(), StandardCharsets.US_ASCII))) {
                int lines = 1 + moments.nextInt(12);
                String line = null;
                for (int l = 0; l < lines; l++) {
                    line = out.readLine();
                    assertTrue("the writer ended by itself", line != null);
                }
                long spin = System.nanoTime() + moments.nextInt(2_000_000);
                while (System.nanoTime() < spin) {
                    Thread.onSpinWait();
                }
                writer.toHandle().destroyForcibly(); // Process.destroyForcibly would close its output
                writer.waitFor();
                saved = Long.parseLong(line);
                for (String more = out.readLine(); more != null; more = out.readLine()) {
                    // The last line may be cut off by the kill; a number before it was written whole.
                    saved = Math.max(
                            saved,
                            more.matches("[0-9]+") && more.length() >= line.length() ? Long.parseLong(more) : saved);
                }
            }
            Store store = new Store(temporary.getRoot().toPath(), 3, said::add);
            Knowledge loaded = store.load();
            assertTrue("saved " + saved + ", loaded " + loaded.takenAt(), loaded.takenAt() >= saved);
            assertEquals(numbered(loaded.takenAt()), loaded);
            Ageing ageing = new Ageing(Ageing.HalfLives.USUAL, new Ageing.Fresh(16, 0, 10, 1.5, 23_000));
            Knowledge aged = ageing.weigh(loaded, loaded.takenAt() + 120_000, id -> new Ageing.Listed(0));
            assertTrue(
                    "old knowledge is discounted",
                    aged.hosts().stream()
                            .allMatch(h -> h.support()
                                    <= 0.51 * loaded.hosts().get((int) h.id()).support()));
        }
        assertEquals("no snapshot was damaged", List.of(), said);
    }
}
