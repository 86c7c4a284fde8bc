package baymoor.net;

import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import baymoor.counters.Counters;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

public class GateTest {

    private static final int PATIENCE_SECONDS = 20;

    /** Danger: a crowd is accepted faster than room is made for it, until no descriptor is left to call anybody with. */
    @Test
    public void whoIsPastTheBoundWaitsUntilAConnectionIsOver() throws Exception {
        DecisionThread thread = new DecisionThread(new Counters(), line -> {});
        MinaNet net = new MinaNet(thread, 3);
        new Thread(thread, "decisions").start();
        BlockingQueue<Link> links = new LinkedBlockingQueue<>();
        InetSocketAddress at = net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), link -> {
            links.add(link);
            return new LinkEvents() {
                @Override
                public void opened() {}

                @Override
                public void received(byte[] bytes) {}

                @Override
                public void written() {}

                @Override
                public void closed() {}
            };
        });
        long begun = System.nanoTime();
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            crowd.add(new Socket(at.getAddress(), at.getPort()));
        }
        for (int accepted = 1; accepted <= 20; accepted++) {
            Link link = links.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
            assertNotNull("connection " + accepted, link);
            long late = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - begun); // one may pass each second
            assertTrue(links.size() + " more", links.size() <= 2 + late);
            if (accepted >= 3) {
                thread.post(link::close);
            }
        }
        for (Socket socket : crowd) {
            socket.close();
        }
        thread.stop();
        net.close();
    }

    @Test
    public void aCountThatWasLostShutsOutNobodyForGood() throws Exception {
        Gate gate = new Gate(1);
        gate.entered();
        long begun = System.nanoTime();
        gate.await();
        assertTrue(System.nanoTime() - begun >= 900_000_000L);
        gate.left();
        gate.await();
        gate.entered();
        gate.open();
        gate.await();
    }
}
