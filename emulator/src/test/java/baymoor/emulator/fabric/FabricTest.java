package baymoor.emulator.fabric;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.ManualTime;
import baymoor.emulator.RecordingLink;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.nio.charset.StandardCharsets;
import org.junit.Test;

/** Checks the faults injected between a host in zone 0 and a balancer in zone 1. */
public class FabricTest {

    private static final int HOST = 0;
    private static final int BALANCER = 1;

    private final ManualTime time = new ManualTime();
    private final Fabric fabric = fabric("");
    /** The real connection, as an I/O driver provides it. */
    private final RecordingLink clientLink = new RecordingLink();

    private final Host host = new Host();

    private Fabric fabric(String net) {
        Scenario scenario = ScenarioReader.own("zones = [\"a\", \"b\"]\n[net]\n" + net, "fabric");
        return new Fabric(scenario.net(), 2, time, new Streams(1).of("fabric"));
    }

    private static final class Host implements LinkEvents {
        private final StringBuilder in = new StringBuilder();
        private Link link;
        private int written;
        private int closed;

        LinkEvents accept(Link from) {
            link = from;
            return this;
        }

        @Override
        public void opened() {}

        @Override
        public void received(byte[] bytes) {
            in.append(new String(bytes, StandardCharsets.US_ASCII));
        }

        @Override
        public void written() {
            written++;
        }

        @Override
        public void closed() {
            closed++;
        }

        void send(String text) {
            link.write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    private LinkEvents connect() {
        return fabric.between(clientLink, BALANCER, HOST, host::accept);
    }

    private static void sendToHost(LinkEvents balancer, String text) {
        balancer.received(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void forwardsBytesAndClosesOnceWithoutFaults() {
        LinkEvents balancer = connect();
        sendToHost(balancer, "ask");
        host.send("answer");
        balancer.written();
        balancer.closed();
        assertEquals("ask", host.in.toString());
        assertEquals("answer", clientLink.out.toString());
        assertEquals(1, host.written);
        assertEquals(1, host.closed);
        assertEquals(new Fabric.Counts(0, 0, 0, 0, 0, 0), fabric.counts());
    }

    @Test
    public void dropsBytesDuringACutAndResetsTheConnectionAfterIt() {
        LinkEvents balancer = connect();
        fabric.cut(HOST, true);
        sendToHost(balancer, "ask");
        host.send("answer");
        time.pass(5_000_000);
        assertEquals("", host.in.toString() + clientLink.out);
        assertFalse("silent, not closed", clientLink.closed || host.closed > 0);
        fabric.cut(HOST, false);
        assertTrue(clientLink.closed);
        balancer.closed();
        assertEquals(1, host.closed);
        assertEquals(9, fabric.counts().bytesHeld());
        assertEquals(1, fabric.counts().resets());
    }

    @Test
    public void idleConnectionSurvivesACut() {
        LinkEvents balancer = connect();
        fabric.cut(BALANCER, true);
        fabric.cut(BALANCER, false);
        sendToHost(balancer, "ask");
        assertEquals("ask", host.in.toString());
        assertFalse(clientLink.closed);
    }

    @Test
    public void overlappingCutsEndWithTheLastOne() {
        LinkEvents balancer = connect();
        fabric.cut(HOST, true);
        fabric.cut(BALANCER, true);
        sendToHost(balancer, "ask");
        fabric.cut(HOST, false);
        assertFalse(clientLink.closed);
        fabric.cut(BALANCER, false);
        assertTrue(clientLink.closed);
    }

    @Test
    public void connectionOpenedDuringACutNeverReachesTheHost() {
        fabric.cut(HOST, true);
        LinkEvents balancer = connect();
        sendToHost(balancer, "ask");
        assertNull(host.link);
        fabric.cut(HOST, false);
        assertTrue(clientLink.closed);
        balancer.closed();
        assertEquals("never heard of it", 0, host.closed);
    }

    @Test
    public void oneWayCutDropsOnlyThatDirection() {
        LinkEvents balancer = connect();
        fabric.cut(HOST, BALANCER, true);
        sendToHost(balancer, "ask");
        host.send("answer");
        assertEquals("ask", host.in.toString());
        assertEquals("", clientLink.out.toString());
        fabric.cut(HOST, BALANCER, false);
        assertTrue("an answer is missing", clientLink.closed);
    }

    @Test
    public void closeDuringACutIsReportedAfterIt() {
        LinkEvents balancer = connect();
        fabric.cut(HOST, true);
        balancer.closed();
        assertEquals(0, host.closed);
        fabric.cut(HOST, false);
        assertEquals(1, host.closed);
    }

    @Test
    public void hostClosingDuringACutIsNotifiedAtOnceAndTheOpenerAfterIt() {
        LinkEvents balancer = connect();
        fabric.cut(HOST, true);
        host.link.close();
        time.pass(1);
        assertEquals(1, host.closed);
        assertFalse(clientLink.closed);
        fabric.cut(HOST, false);
        assertTrue(clientLink.closed);
        balancer.closed();
        assertEquals(1, host.closed);
    }

    private int countArrivals(Fabric target, int count) {
        int[] arrived = {0};
        for (int i = 0; i < count; i++) {
            target.datagram(BALANCER, HOST, () -> arrived[0]++);
        }
        time.pass(1_000_000);
        return arrived[0];
    }

    @Test
    public void datagramsAreDroppedAndDuplicatedAsConfigured() {
        assertEquals(100, countArrivals(fabric("datagram_loss = \"0%\"\ndatagram_double = \"0%\""), 100));
        Fabric lossy = fabric("datagram_loss = \"0%\"\ndatagram_double = \"0%\"");
        lossy.lose(0.3);
        int arrived = countArrivals(lossy, 1000);
        assertTrue(arrived + " of 1000", arrived > 600 && arrived < 800);
        assertEquals(1000 - arrived, lossy.counts().datagramsLost());
        lossy.lose(0);
        lossy.cut(BALANCER, HOST, true);
        assertEquals(0, countArrivals(lossy, 50));
        assertEquals(50, lossy.counts().datagramsCut());
        lossy.cut(BALANCER, HOST, false);
        lossy.cut(HOST, BALANCER, true);
        assertEquals("one way only", 50, countArrivals(lossy, 50));
        Fabric doubling = fabric("datagram_loss = \"0%\"\ndatagram_double = \"50%\"");
        arrived = countArrivals(doubling, 1000);
        assertEquals(1000 + doubling.counts().datagramsDoubled(), arrived);
        assertTrue(arrived + " of 1000", arrived > 1400 && arrived < 1600);
    }
}
