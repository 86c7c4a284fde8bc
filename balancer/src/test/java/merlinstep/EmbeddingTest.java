package merlinstep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs the README's example of embedding the decision module. */
class EmbeddingTest {

    private final List<String> log = new ArrayList<>();
    private final Deque<Decisions.Event> due = new ArrayDeque<>();

    @Test
    void aMissIsFetchedAndTimersAndPeersAreUsed() {
        Decisions decisions = Decisions.start(Timeline.settings(0, 2, 6));
        Decisions.Sink sink = action -> {
            if (action instanceof Decisions.Send send) {
                boolean origin = send.server() == Timeline.ORIGIN;
                log.add(origin ? "fetch" : "ask");
                due.add(new Decisions.AttemptEnded(
                        send.request(),
                        log.size() - 1,
                        send.server(),
                        origin ? Decisions.Outcome.SERVED : Decisions.Outcome.MISS,
                        20_000,
                        origin,
                        origin ? 0 : 2,
                        new double[0]));
            } else if (action instanceof Decisions.SetTimer timer) {
                due.addLast(new Decisions.TimerFired(timer.token()));
            } else if (action instanceof Decisions.TellPeer tell) {
                log.add("tell");
                assertTrue(tell.content().length <= 256);
            } else if (action instanceof Decisions.Refuse || action instanceof Decisions.Fail) {
                log.add("unserved");
            }
        };
        long now = 77;
        decisions.decide(now, new Decisions.ServerList(Decisions.ListKind.WHOLE, 1, Timeline.servers(3)), sink);
        decisions.decide(
                now, new Decisions.Request("r", "read", "t", true, 5, now + 2_000_000, 0, 0, false, false), sink);
        for (int i = 0; i < 40; i++) {
            now += 50_000;
            decisions.decide(now, due.removeFirst(), sink);
        }
        assertEquals(
                List.of("ask", "fetch"),
                log.stream().filter(line -> !line.equals("tell")).toList());
        assertTrue(log.contains("tell"));
    }
}
