package baymoor.knowledge.file;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import baymoor.knowledge.data.Knowledge;
import baymoor.knowledge.data.Knowledge.Host;
import baymoor.knowledge.data.Knowledge.Key;
import baymoor.knowledge.data.Knowledge.Origin;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** Files that are whole or refused, and a folder that service does without when it must. */
public class StoreTest {

    @Rule
    public final TemporaryFolder temporary = new TemporaryFolder();

    private final List<String> said = new ArrayList<>();

    private static Knowledge knowledge(long at) {
        return new Knowledge(
                "n0",
                at,
                5,
                List.of(new Host(1, 0, at, 3, 20_000, 12, 0.25, false), new Host(2, 77, at, 1, 5, 6, 0, true)),
                List.of(new Key(-7, at, 2, 1.5)),
                new Origin(at, 4, 30, 900));
    }

    private Store store(int kept) {
        return new Store(temporary.getRoot().toPath(), kept, said::add);
    }

    @Test
    public void everyDamageOfOneByteIsRefused() throws IOException {
        byte[] whole = Format.write(knowledge(1));
        assertEquals(knowledge(1), Format.read(whole));
        for (int i = 0; i < whole.length; i++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] damaged = whole.clone();
                damaged[i] ^= (byte) (1 << bit);
                assertThrows("byte " + i + " bit " + bit, Format.Unreadable.class, () -> Format.read(damaged));
            }
        }
        for (int length = 0; length < whole.length; length++) {
            byte[] cut = Arrays.copyOf(whole, length);
            assertThrows("cut at " + length, Format.Unreadable.class, () -> Format.read(cut));
        }
    }

    @Test
    public void aNewerVersionIsRefusedInALineThatSaysSo() {
        byte[] newer = Format.frame(new byte[] {(byte) 0xbf, (byte) 0xff}, Format.VERSION + 1);
        assertEquals(
                "of format version 3; this program reads 1 to 2",
                assertThrows(Format.Unreadable.class, () -> Format.read(newer)).getMessage());
    }

    @Test
    public void anOlderVersionIsMigratedAndWhatIsUnknownPassedOver() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = new CBORFactory().createGenerator(out)) {
            g.writeStartObject();
            g.writeStringField("instance", "old");
            g.writeObjectFieldStart("weather");
            g.writeStringField("sky", "blue");
            g.writeEndObject();
            g.writeArrayFieldStart("keys");
            g.writeStartObject();
            g.writeNumberField("key", 5);
            g.writeNumberField("at", 9);
            g.writeNumberField("rate", 120);
            g.writeStringField("colour", "red");
            g.writeEndObject();
            g.writeEndArray();
            g.writeEndObject();
        }
        Knowledge old = Format.read(Format.frame(out.toByteArray(), 1));
        assertEquals(List.of(new Key(5, 9, 4, 2)), old.keys());
    }

    @Test
    public void theNewestWholeOneIsLoadedAndTheRestKeptToANumber() throws IOException {
        try (Store store = store(3)) {
            assertTrue(store.open());
            assertNull(store.load());
            for (int i = 1; i <= 5; i++) {
                assertTrue(store.save(knowledge(i)));
            }
            assertEquals(3, store.snapshots().size());
            assertEquals(knowledge(5), store.load());
            Path newest = store.snapshots().get(0);
            byte[] bytes = Files.readAllBytes(newest);
            bytes[bytes.length / 2]++;
            Files.write(newest, bytes);
            assertEquals(knowledge(4), store.load());
            assertTrue(said.toString(), said.size() == 1 && said.get(0).contains("damaged"));
        }
        try (Store again = store(3)) {
            assertTrue(again.open());
            assertTrue(again.save(knowledge(6)));
            assertTrue("numbers go on", again.snapshots().get(0).toString().endsWith("0006.bin"));
        }
    }

    @Test
    public void aFolderBelongsToOneAtATime() throws IOException {
        try (Store first = store(2);
                Store second = store(2)) {
            assertTrue(first.open());
            assertFalse(second.open());
            assertFalse(second.save(knowledge(1)));
            assertTrue(first.save(knowledge(2)));
            assertEquals("reading is free to all", knowledge(2), second.load());
            assertTrue(said.toString(), said.size() == 1 && said.get(0).contains("belongs to another instance"));
        }
    }

    @Test
    public void whereNothingCanBeWrittenServiceGoesOn() throws IOException {
        Path file = temporary.newFile("in-the-way").toPath();
        Store store = new Store(file, 1, said::add);
        assertFalse(store.open());
        assertNull(store.load());
        assertFalse(store.save(knowledge(1)));
        assertTrue(said.toString(), said.size() == 1 && said.get(0).contains("can't be used"));
        try (Store full = store(2)) {
            assertTrue(full.open());
            assertTrue(full.save(knowledge(1)));
            Files.createDirectory(temporary.getRoot().toPath().resolve("knowledge.tmp"));
            assertFalse(full.save(knowledge(2)));
            assertEquals(knowledge(1), full.load());
        }
    }
}
