package baymoor.scale.loop;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** Events come one after another on one thread, and their time counts for the kind of work that they are. */
public class DecisionLoopTest {

    private static final long LONG_SECONDS = 20;
    private static final long TOOL_NANOS = 5_000_000;
    private static final long SERVING_NANOS = 3_000;

    private final List<String> failures = new ArrayList<>();
    private DecisionLoop loop;

    @Before
    public void start() throws IOException {
        loop = new DecisionLoop("test", new RunClock(1), failures::add);
        loop.start();
    }

    @After
    public void stop() {
        loop.stop();
    }

    private static void await(CountDownLatch latch) throws InterruptedException {
        assertTrue(latch.await(LONG_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    public void whatIsDueAtOnceComesBeforeTimersAndTimersInOrder() throws InterruptedException {
        List<Integer> order = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> {
            loop.schedule(2_000, () -> order.add(3));
            loop.schedule(1_000, () -> order.add(2));
            loop.schedule(0, () -> order.add(1));
            loop.schedule(1_500, () -> order.add(9)).cancel();
            loop.schedule(3_000, done::countDown);
        });
        await(done);
        assertEquals(List.of(1, 2, 3), order);
    }

    @Test
    public void aTimerIsOfTheKindOfTheEventThatSetIt() throws InterruptedException {
        List<Work> kinds = new ArrayList<>();
        CountDownLatch done = new CountDownLatch(2);
        loop.post(() -> {
            loop.schedule(0, () -> {
                kinds.add(loop.work());
                done.countDown();
            });
            loop.as(
                    Work.SERVING,
                    () -> loop.schedule(10, () -> {
                        kinds.add(loop.work());
                        done.countDown();
                    }));
        });
        await(done);
        assertEquals(List.of(Work.CONTROL, Work.SERVING), kinds);
    }

    @Test
    public void timeWithinAnEventOfAnotherKindIsTakenOffThatOne() throws IOException, InterruptedException {
        AtomicLong nanos = new AtomicLong();
        DecisionLoop measured = new DecisionLoop("measured", new RunClock(1), failures::add, nanos::get);
        measured.start();
        long[][] spent = new long[1][];
        CountDownLatch done = new CountDownLatch(1);
        measured.post(() -> measured.as(Work.SERVING, () -> {
            nanos.addAndGet(SERVING_NANOS);
            measured.as(Work.TOOL, () -> nanos.addAndGet(TOOL_NANOS));
        }));
        measured.post(() -> {
            spent[0] = measured.spentNanos();
            done.countDown();
        });
        await(done);
        measured.stop();
        assertEquals(TOOL_NANOS, spent[0][Work.TOOL.ordinal()]);
        assertEquals(SERVING_NANOS, spent[0][Work.SERVING.ordinal()]);
        assertEquals(0, spent[0][Work.CONTROL.ordinal()]);
    }

    @Test
    public void aTaskThatFailsEndsNothingElse() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> {
            throw new IllegalStateException("meant");
        });
        loop.post(done::countDown);
        await(done);
        assertEquals(1, failures.size());
    }

    @Test
    public void datagramsArriveFromTheAddressOfTheirSender() throws IOException, InterruptedException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        List<InetSocketAddress> senders = new ArrayList<>();
        CountDownLatch heard = new CountDownLatch(1);
        PeerSocket one = new PeerSocket(loop, any, (from, bytes) -> {
            senders.add(from);
            heard.countDown();
        });
        PeerSocket other = new PeerSocket(loop, any, (from, bytes) -> {});
        loop.post(() -> other.send(one.address(), new byte[] {1, 2, 3}));
        await(heard);
        assertEquals(List.of(other.address()), senders);
        one.close();
        other.close();
    }
}
