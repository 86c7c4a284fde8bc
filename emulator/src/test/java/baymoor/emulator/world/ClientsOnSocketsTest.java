package baymoor.emulator.world;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.ManualTime;
import baymoor.emulator.RecordingLink;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.Broken;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.judge.Rule;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.link.Dialer;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Clients on a platform that does not report why a connection ended, as with sockets; the test plays the balancer. */
public class ClientsOnSocketsTest {

    private static final long SLACK_MICROS = 50_000;

    private final ManualTime time = new ManualTime();
    private final List<Broken> violations = new ArrayList<>();
    private final List<ClientLink> links = new ArrayList<>();
    private Clients clients;

    /** A client's connection, whose events the test triggers. */
    private static final class ClientLink extends RecordingLink {
        private LinkEvents client;

        @Override
        public void write(byte[] bytes) {
            super.write(bytes);
            client.written();
        }

        /** Returns the number of requests written to this connection. */
        int requestCount() {
            return out.toString().split("OBJ\\.[GS]ET", -1).length - 1;
        }

        void closeFromBalancer() {
            closed = true;
            client.closed();
        }

        void answerBusy() {
            client.received("-BUSY\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private final class SocketLikePlatform implements Platform {
        @Override
        public Time time(String host, int zone) {
            return time;
        }

        @Override
        public void listen(int place, String host, int zone, Acceptor acceptor) {}

        @Override
        public void listenBeside(int balancer, int place, String host, int zone, Acceptor acceptor) {}

        @Override
        public void stopListening(int place, boolean silently) {}

        @Override
        public Dialer clients(int zone) {
            return (to, events) -> {
                ClientLink link = new ClientLink();
                link.client = events;
                links.add(link);
                return link;
            };
        }

        @Override
        public InetSocketAddress balancer(int number) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        }

        @Override
        public InetSocketAddress peer(int number, int seenBy) {
            return balancer(number);
        }

        @Override
        public InetSocketAddress everyone() {
            return null;
        }

        @Override
        public InetSocketAddress address(int host, int balancer) {
            return balancer(balancer);
        }

        @Override
        public long unixMillis(long micros) {
            return micros / 1000;
        }

        @Override
        public boolean hostsTell() {
            return true;
        }

        @Override
        public long slackMicros() {
            return SLACK_MICROS;
        }

        @Override
        public void cut(int zone, boolean cut) {}

        @Override
        public void loseDatagrams(double share) {}
    }

    private void start(String effect) {
        Scenario scenario = ScenarioReader.own("""
                zones = ["a"]
                warm_up = "0s"
                duration = "60s"
                [balancers]
                count = 1
                [traffic]
                rate = "5/s"
                wave = "0%%"
                retry = "0%%"
                impatient = "0%%"
                least_try = "100%%"
                [[classes]]
                name = "read"
                share = "100%%"
                aim = "800ms"
                give_up = "1500ms"
                effect = "%s"
                """.formatted(effect), "clients");
        Judge judge = new Judge(time::now, scenario.figures(), SLACK_MICROS, violations::add);
        clients = new Clients(
                scenario, new SocketLikePlatform(), new Streams(1), new WorkloadModel(scenario, 1), judge, new Tally());
        clients.ready(0);
        clients.start();
    }

    /** Advances time until an open connection has carried more than the given number of requests. */
    private ClientLink awaitRequest(int requestsBefore) {
        if (clients == null) {
            start("safe");
        }
        for (int i = 0; i < 10_000; i++) {
            for (ClientLink link : links) {
                if (!link.closed && link.out.length() == 0) {
                    link.client.opened();
                }
                if (!link.closed && link.requestCount() > requestsBefore) {
                    return link;
                }
            }
            time.pass(1_000);
        }
        throw new AssertionError("no request was sent");
    }

    /** Returns a connection that was answered once and carries its second request. */
    private ClientLink awaitReusedConnection() {
        awaitRequest(0).answerBusy();
        return awaitRequest(1);
    }

    @Test
    public void resendsSafeRequestWhenIdleConnectionClosesConcurrently() {
        ClientLink reused = awaitReusedConnection();
        int linksBefore = links.size();
        time.pass(2_000);
        reused.client.closed();
        assertEquals("on a new connection", linksBefore + 1, links.size());
        assertEquals(List.of(), violations);
    }

    /** A killed balancer may have forwarded the unsafe request already, so that resending it would run it twice. */
    @Test
    public void doesNotResendUnsafeRequestWhenIdleConnectionClosesConcurrently() {
        start("unsafe");
        ClientLink reused = awaitReusedConnection();
        String id = reused.out.substring(reused.out.lastIndexOf("OBJ.")).split("\r\n")[4];
        time.pass(2_000);
        reused.closeFromBalancer();
        links.stream().filter(l -> l != reused && !l.closed).forEach(l -> l.client.opened());
        assertTrue(links.stream().filter(l -> l != reused).noneMatch(l -> l.out.indexOf(id) >= 0));
        assertEquals("whether the balancer received it is unknown", List.of(), violations);
    }

    @Test
    public void reportsLostRequestWhenBalancerClosesReusedConnectionAfterSlack() {
        ClientLink reused = awaitReusedConnection();
        time.pass(SLACK_MICROS + 1_000);
        reused.client.closed();
        assertEquals(Rule.ONE_ANSWER, violations.get(0).rule());
    }

    @Test
    public void reportsLostRequestWhenBalancerClosesNewConnection() {
        ClientLink newLink = awaitRequest(0);
        newLink.client.closed();
        assertEquals(Rule.ONE_ANSWER, violations.get(0).rule());
    }

    /** At a planned restart a listener may close with connections in its accept queue. */
    @Test
    public void toleratesUnacceptedConnectionOnlyWhileBalancerStops() {
        start("safe");
        clients.ending(0);
        awaitRequest(0).closeFromBalancer();
        assertEquals(List.of(), violations);
        ClientLink accepted = awaitRequest(0);
        time.pass(SLACK_MICROS + 1_000);
        accepted.closeFromBalancer();
        assertEquals("after the slack the balancer must have received it", 1, violations.size());
        clients.ready(0);
        awaitRequest(0).closeFromBalancer();
        assertEquals("the balancer is ready again", 2, violations.size());
    }

    @Test
    public void ignoresAnswerAfterClientTimeout() {
        ClientLink reused = awaitReusedConnection();
        time.pass(1_700_000);
        assertTrue("closed after the timeout", reused.closed);
        int violationsBefore = violations.size();
        reused.answerBusy();
        assertEquals(violationsBefore, violations.size());
    }
}
