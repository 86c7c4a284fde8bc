package baymoor.net;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

public class AcceptQueueTest {

    private static final long MICRO = 1_000;

    @Test
    public void aConnectionArrivedAfterTheQueueWasLastEmpty() {
        AcceptQueue queue = new AcceptQueue(100, 0);
        queue.foundEmpty(500 * MICRO);
        assertEquals(10, queue.accepted(510 * MICRO));
        assertEquals(40, queue.accepted(540 * MICRO));
        queue.foundEmpty(600 * MICRO);
        assertEquals(1, queue.accepted(601 * MICRO));
    }

    /** Guards against a bound that grows for as long as some connection waits, as clients that come back at once keep it. */
    @Test
    public void aConnectionArrivedAfterMoreThanAQueueFullWereAccepted() {
        AcceptQueue queue = new AcceptQueue(2, 0);
        assertEquals(10, queue.accepted(10 * MICRO));
        assertEquals(20, queue.accepted(20 * MICRO));
        assertEquals(30, queue.accepted(30 * MICRO));
        assertEquals(30, queue.accepted(40 * MICRO));
        assertEquals(35, queue.accepted(55 * MICRO));
    }
}
