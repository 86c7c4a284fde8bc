package baymoor.assembly;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.config.Config;
import baymoor.counters.Counters;
import baymoor.memory.ClientMemory;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;

/** Two processes with the same configuration, one after the other at the same address. */
public class RestartedBalancerTest {

    private static final byte STATE_TYPE = 1;
    private static final byte QUERY_TYPE = 0x51;
    private static final long RUN_MICROS = 3_000_000;
    private static final long RESTART_MICROS = 1_234_567;

    /** Returns what a balancer sends to its peers in its first seconds. */
    private static List<byte[]> datagramsOfAStartAt(long unixMicros) throws Exception {
        String config = Files.readString(Path.of("balancer/src/test/resources/pushed.json"))
                .replace("\"automatic\"", "\"subscribe\"");
        ManualTime time = new ManualTime();
        long clockOffsetMicros = time.now() - unixMicros;
        time.advance(unixMicros % 1_000); // no two processes need the same time for their start
        List<byte[]> sent = new ArrayList<>();
        Assembly assembly = new Assembly(
                Config.parse(config, Map.of()),
                new Assembly.Environment(
                        time,
                        (to, events) -> new FakeLink(),
                        (to, content) -> sent.add(content),
                        millis -> millis * 1000 + clockOffsetMicros,
                        new ClientMemory(6 << 20, 64),
                        new Counters(),
                        line -> {}));
        assembly.start(() -> {});
        time.advance(RUN_MICROS);
        return sent;
    }

    private static Set<Long> nonces(List<byte[]> datagrams) {
        Set<Long> nonces = new HashSet<>();
        datagrams.stream()
                .filter(datagram -> datagram[0] == QUERY_TYPE)
                .forEach(datagram -> nonces.add(ByteBuffer.wrap(datagram).getLong(1)));
        return nonces;
    }

    private static Set<Short> incarnations(List<byte[]> datagrams) {
        Set<Short> incarnations = new HashSet<>();
        datagrams.stream()
                .filter(datagram -> datagram[0] == STATE_TYPE)
                .forEach(datagram -> incarnations.add(ByteBuffer.wrap(datagram).getShort(1)));
        return incarnations;
    }

    /** Guards against peers that drop the states of a restarted balancer as old ones, or count its first queries as answered. */
    @Test
    public void aRestartedBalancerIsNotTakenForTheOneBefore() throws Exception {
        List<byte[]> first = datagramsOfAStartAt(1_000_000_000_000_000L);
        List<byte[]> second = datagramsOfAStartAt(1_000_000_000_000_000L + RESTART_MICROS);
        assertEquals("one process keeps its incarnation", 1, incarnations(first).size());
        assertFalse(incarnations(first).equals(incarnations(second)));
        assertTrue(nonces(first).size() > 1);
        Set<Long> common = nonces(first);
        common.retainAll(nonces(second));
        assertEquals(Set.of(), common);
    }
}
