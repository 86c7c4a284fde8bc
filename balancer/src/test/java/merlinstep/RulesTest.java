package merlinstep;

import static merlinstep.Timeline.ORIGIN;
import static merlinstep.Timeline.SECOND;
import static merlinstep.Timeline.cache;
import static merlinstep.Timeline.of;
import static merlinstep.Timeline.onlySend;
import static merlinstep.Timeline.sends;
import static merlinstep.Timeline.servers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.Cancel;
import merlinstep.Decisions.Fail;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Membership;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.PeerMessage;
import merlinstep.Decisions.Refuse;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestGone;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.State;
import merlinstep.Decisions.TellPeer;
import merlinstep.Decisions.WatchServers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the decision module with events in virtual time. */
class RulesTest {

    private static Map<Long, Long> owners(Timeline timeline, int keys) {
        Map<Long, Long> owners = new HashMap<>();
        for (long key = 0; key < keys; key++) {
            long hashed = Hash.mix(key + 1);
            Send send = onlySend(timeline.read("k" + key + "-" + timeline.actions.size(), hashed));
            owners.put(key, send.server());
            timeline.end(send, Outcome.SERVED);
        }
        return owners;
    }

    @Test
    void keysSpreadEvenlyOverCaches() {
        Map<Long, Integer> count = new HashMap<>();
        owners(Timeline.with(0, 1, 10), 4_000).values().forEach(c -> count.merge(c, 1, Integer::sum));
        assertEquals(10, count.size());
        count.forEach((cache, n) -> assertEquals(400, n, 120, "cache " + cache));
    }

    @Test
    void onlyKeysOfARemovedCacheMove() {
        Timeline timeline = Timeline.with(0, 1, 10);
        Map<Long, Long> before = owners(timeline, 1_000);
        timeline.list(ListKind.CHANGES, List.of(cache(3, State.GONE, 0)));
        Map<Long, Long> after = owners(timeline, 1_000);
        before.forEach((key, owner) -> {
            if (owner != 3) {
                assertEquals(owner, after.get(key));
            } else {
                assertNotEquals(3L, after.get(key));
            }
        });
    }

    @Test
    void aDrainingCacheGetsNoRequests() {
        Timeline timeline = Timeline.with(0, 1, 4);
        timeline.list(ListKind.CHANGES, List.of(cache(2, State.DRAINING, 0)));
        assertTrue(owners(timeline, 500).values().stream().noneMatch(c -> c == 2));
    }

    @Test
    void aCacheMissingFromAWholeListIsRemoved() {
        Timeline timeline = Timeline.with(0, 1, 4);
        timeline.list(ListKind.WHOLE, servers(3));
        assertTrue(owners(timeline, 500).values().stream().noneMatch(c -> c == 4));
    }

    @Test
    void theOriginOwnsNoSlot() {
        assertTrue(owners(Timeline.with(0, 1, 3), 1_000).values().stream().noneMatch(c -> c == ORIGIN));
    }

    @Test
    void aColdCacheGetsFewerSlots() {
        Timeline timeline = Timeline.with(0, 1, 4);
        owners(timeline, 200);
        timeline.list(ListKind.CHANGES, List.of(cache(4, State.RUNNING, timeline.now)));
        long cold =
                owners(timeline, 1_000).values().stream().filter(c -> c == 4).count();
        timeline.pass(20 * SECOND);
        long warm =
                owners(timeline, 1_000).values().stream().filter(c -> c == 4).count();
        assertTrue(cold * 2 < warm, cold + " cold, " + warm + " warm");
    }

    @Test
    void concurrentMissesOfAKeyShareOneFetch() {
        Timeline timeline = Timeline.with(0, 1, 3);
        Send first = onlySend(timeline.read("a", 7));
        Send second = onlySend(timeline.read("b", 7));
        Send fetch = onlySend(timeline.end(first, Outcome.MISS));
        assertEquals(ORIGIN, fetch.server());
        assertEquals(List.of(), sends(timeline.end(second, Outcome.MISS)));
        Send again = onlySend(timeline.end(fetch, Outcome.SERVED));
        assertEquals("b", again.request());
        assertEquals(first.server(), again.server());
    }

    @Test
    void aFailedFetchIsRetried() {
        Timeline timeline = Timeline.with(0, 1, 3);
        Send ask = onlySend(timeline.read("a", 7));
        Send fetch = onlySend(timeline.end(ask, Outcome.MISS));
        List<Action> after = new ArrayList<>(timeline.end(fetch, Outcome.FULL));
        after.addAll(timeline.pass(200_000));
        assertTrue(sends(after).stream().anyMatch(s -> s.server() == ORIGIN), after.toString());
    }

    @Test
    void withoutAnOriginMissesAreHeldAndRefusedInTime() {
        Timeline timeline = new Timeline(Timeline.settings(0, 1, 6), 0);
        timeline.list(ListKind.LAST_KNOWN, List.of(cache(1, State.RUNNING, 0)));
        Send ask = onlySend(timeline.read("a", 7));
        assertEquals(List.of(), sends(timeline.end(ask, Outcome.MISS)));
        assertEquals(1, of(timeline.pass(SECOND), Refuse.class).size());
        timeline.list(ListKind.CHANGES, servers(0));
        Send next = onlySend(timeline.read("b", 7));
        assertEquals(ORIGIN, onlySend(timeline.end(next, Outcome.MISS)).server());
    }

    @Test
    void requestsWithoutServersAreHeldAndThenRefused() {
        Timeline timeline = new Timeline(Timeline.settings(0, 1, 6), 0);
        timeline.list(ListKind.LAST_KNOWN, List.of());
        timeline.read("a", 7);
        timeline.request("w", "once", 7, true);
        assertEquals(2, of(timeline.pass(SECOND), Refuse.class).size());
    }

    @Test
    void aRequestWithLessTimeThanATickIsRefusedAtOnce() {
        // It would expire before the next tick.
        Timeline timeline = new Timeline(Timeline.settings(0, 1, 6), 0);
        timeline.list(ListKind.LAST_KNOWN, List.of());
        List<Action> actions =
                timeline.event(new Request("a", "read", "t", true, 7, timeline.now + 20_000, 0, 0, false, false));
        assertEquals(1, of(actions, Refuse.class).size());
    }

    @Test
    void fullAnswersAreNotRetriedAtOnce() {
        // Immediate retries would overload the other caches.
        Timeline timeline = Timeline.with(0, 1, 5);
        Send ask = onlySend(timeline.read("a", 7));
        assertEquals(List.of(), sends(timeline.end(ask, Outcome.FULL)));
        assertEquals(1, sends(timeline.pass(400_000)).size());
    }

    @Test
    void requestsAtASilentCacheAreCancelledAndSentElsewhere() {
        Timeline timeline = Timeline.with(0, 1, 2);
        List<Send> unanswered = new ArrayList<>();
        for (int i = 0; unanswered.size() < 4; i++) {
            Send send = onlySend(timeline.read("r" + i, Hash.mix(i + 1)));
            if (send.server() == 1) {
                unanswered.add(send);
            } else {
                timeline.end(send, Outcome.SERVED);
            }
        }
        // A stalled balancer hears no server, and must not take all of them out of use.
        assertEquals(List.of(), of(timeline.pass(600_000), Cancel.class));
        Send other = onlySend(timeline.read("other", keyOf(2)));
        timeline.end(other, Outcome.SERVED);
        List<Cancel> cancels = of(timeline.pass(100_000), Cancel.class);
        assertEquals(4, cancels.size());
        assertEquals(
                2, onlySend(timeline.end(unanswered.get(0), Outcome.CANCELLED)).server());
    }

    @Test
    void aFailingCacheIsAvoidedUntilItServesAgain() {
        // It fails quickly and so looks idle; requests must not spend all their attempts on it.
        Timeline timeline = Timeline.with(0, 1, 4);
        int[] asked = new int[2];
        for (int i = 0; i < 1_200; i++) {
            boolean healthy = i >= 400;
            List<Send> sends = sends(timeline.read("r" + i, Hash.mix(i + 1)));
            for (int tries = 0; !sends.isEmpty() && tries < 6; tries++) {
                boolean failing = sends.get(0).server() == 1;
                asked[healthy ? 1 : 0] += failing ? 1 : 0;
                sends = sends(timeline.end(sends.get(0), failing && !healthy ? Outcome.ERROR : Outcome.SERVED));
            }
            timeline.pass(20_000);
        }
        assertTrue(asked[0] < 40, asked[0] + " of 400 requests tried it while it failed");
        assertTrue(asked[1] > 100, asked[1] + " of 800 requests tried it when it was well");
    }

    @Test
    void keysOfACacheThatRefusesAllGoToTheNextOne() {
        Timeline timeline = Timeline.with(0, 1, 2);
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            for (Send send : sends(timeline.read("r" + i, Hash.mix(i + 1)))) {
                refused += send.server() == 1 ? 1 : 0;
                timeline.end(send, send.server() == 1 ? Outcome.FULL : Outcome.SERVED);
            }
            timeline.pass(2_000);
        }
        assertTrue(refused < 25, refused + " refused");
        assertTrue(
                of(timeline.actions, Send.class).stream()
                                .filter(s -> s.server() == 2)
                                .count()
                        >= 50,
                "served by the other cache");
    }

    @Test
    void aRequestWithoutAttemptIsRefusedWithinHalfOfItsTime() {
        // The client keeps time for a retry.
        Timeline timeline = Timeline.with(0, 1, 1);
        for (int i = 0; i < 16; i++) {
            onlySend(timeline.read("out" + i, i));
        }
        assertEquals(List.of(), sends(timeline.read("parked", 99)));
        assertEquals(
                1,
                of(timeline.pass(700_000), Refuse.class).stream()
                        .filter(r -> r.request().equals("parked"))
                        .count());
    }

    /** Returns a key whose slot belongs to the given one of two caches. */
    private static long keyOf(long server) {
        for (int i = 1; ; i++) {
            if (onlySend(Timeline.with(0, 1, 2).read("r", Hash.mix(i))).server() == server) {
                return Hash.mix(i);
            }
        }
    }

    @Test
    void trialsOfManyBalancersAreRareAndNotInStep() {
        // Trials in step would overload a recovering cache.
        List<Long> lastTrials = new ArrayList<>();
        for (int index = 0; index < 8; index++) {
            Timeline timeline = Timeline.with(index, 64, 2);
            int trials = 0;
            long last = 0;
            for (int i = 0; i < 4_000; i++) {
                for (Send send : sends(timeline.read("r" + i, Hash.mix(i + 1)))) {
                    if (send.server() == 1) {
                        trials++;
                        last = timeline.now;
                        timeline.end(send, Outcome.NOT_CONNECTED);
                    } else {
                        timeline.end(send, Outcome.SERVED);
                    }
                }
                timeline.pass(5_000);
            }
            assertTrue(trials <= 8, trials + " trials in 20 s");
            lastTrials.add(last / 50_000);
        }
        assertTrue(new HashSet<>(lastTrials).size() >= 4, "in step: " + lastTrials);
    }

    @Test
    void aZoneThatAnswersAgainIsRestoredAtOnce() {
        // After a partition the servers must not wait for a trial each.
        Timeline timeline = Timeline.with(0, 1, 8);
        for (int i = 0; i < 600; i++) {
            for (Send send : sends(timeline.read("cut" + i, Hash.mix(i + 1)))) {
                timeline.end(send, send.server() % 2 == 0 ? Outcome.SERVED : Outcome.NOT_CONNECTED);
            }
            timeline.pass(10_000);
        }
        Set<Long> far = new HashSet<>();
        for (int i = 0; i < 150; i++) {
            for (Send send : sends(timeline.read("healed" + i, Hash.mix(i + 1)))) {
                timeline.end(send, Outcome.SERVED);
                far.add(send.server());
            }
            timeline.pass(10_000);
        }
        assertTrue(far.containsAll(Set.of(1L, 3L, 5L, 7L)), far.toString());
    }

    @Test
    void identicalEventsGiveIdenticalActions() {
        List<List<Action>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Timeline timeline = Timeline.with(1, 3, 6);
            for (int i = 0; i < 300; i++) {
                for (Send send : sends(timeline.read("r" + i, Hash.mix(i % 40 + 1)))) {
                    timeline.end(send, i % 3 == 0 ? Outcome.MISS : Outcome.SERVED);
                }
                timeline.pass(3_000);
            }
            runs.add(timeline.actions.stream()
                    .filter(a -> !(a instanceof TellPeer))
                    .toList());
        }
        assertEquals(runs.get(0), runs.get(1));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"SERVED", "NOT_SENT"},
            mode = EnumSource.Mode.EXCLUDE)
    void anUnsafeRequestIsRetriedOrRefusedOnlyIfNothingRan(Outcome outcome) {
        Timeline timeline = Timeline.with(0, 1, 3);
        Send ask = onlySend(timeline.request("u", "once", 7, false));
        List<Action> after = new ArrayList<>(timeline.end(ask, outcome));
        after.addAll(timeline.pass(2 * SECOND));
        if (!outcome.provesNothingRan()) {
            assertEquals(List.of(), sends(after), outcome + " may have run");
            assertEquals(1, of(after, Fail.class).size());
            assertEquals(List.of(), of(after, Refuse.class));
        } else {
            assertTrue(sends(after).size() + of(after, Refuse.class).size() > 0, outcome + " proves nothing ran");
        }
    }

    @ParameterizedTest
    @CsvSource({"write, true", "zoned, false", "celled, false"})
    void aKeyedRequestThatMayHaveRunIsRefusedOnlyIfAllServersDropRepeats(String kind, boolean refusable) {
        Timeline timeline = Timeline.with(0, 1, 3);
        Send sent = onlySend(timeline.request("w", kind, 7, true));
        assertEquals(ORIGIN, sent.server());
        timeline.now += 890_000;
        timeline.end(sent, Outcome.TIMED_OUT);
        timeline.pass(2 * SECOND);
        assertEquals(refusable ? 1 : 0, of(timeline.actions, Refuse.class).size());
        assertEquals(refusable ? 0 : 1, of(timeline.actions, Fail.class).size());
    }

    @ParameterizedTest
    @CsvSource({"zoned", "celled"})
    void aKeyedRequestThatMayHaveRunStaysInItsGroup(String kind) {
        Timeline timeline = Timeline.with(0, 1, 6);
        for (int i = 0; i < 40; i++) {
            Send first = onlySend(timeline.request(kind + i, kind, Hash.mix(i + 1), false));
            List<Action> after = new ArrayList<>(timeline.end(first, Outcome.ERROR));
            after.addAll(timeline.pass(100_000));
            for (Send again : sends(after)) {
                boolean same = kind.equals("zoned")
                        ? first.server() % 2 == again.server() % 2
                        : first.server() / 3 == again.server() / 3;
                assertTrue(same, first + " then " + again);
                timeline.end(again, Outcome.SERVED);
            }
        }
    }

    @Test
    void attemptsPerRequestAreBounded() {
        Timeline timeline = new Timeline(Timeline.settings(0, 1, 3), 0);
        timeline.list(ListKind.LAST_KNOWN, servers(4));
        List<Send> open = new ArrayList<>(sends(timeline.read("a", 7)));
        int total = 0;
        while (!open.isEmpty()) {
            total += open.size();
            List<Action> after = new ArrayList<>(timeline.end(open.remove(0), Outcome.ERROR));
            after.addAll(timeline.pass(60_000));
            open.addAll(sends(after));
        }
        assertEquals(3, total);
        assertEquals(1, of(timeline.actions, Refuse.class).size());
    }

    @Test
    void everyRequestGetsOneAnswerUnderRandomOutcomes() {
        java.util.Random random = new java.util.Random(5);
        Timeline timeline = Timeline.with(0, 2, 6);
        Outcome[] outcomes = Outcome.values();
        Set<String> owed = new HashSet<>();
        Map<String, Integer> answers = new HashMap<>();
        List<Send> open = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            String id = "r" + i;
            String[] kinds = {"read", "write", "zoned", "celled", "once", "nobody"};
            String kind = kinds[random.nextInt(kinds.length)];
            owed.add(id);
            List<Action> actions =
                    new ArrayList<>(timeline.request(id, kind, Hash.mix(random.nextInt(30)), random.nextBoolean()));
            actions.addAll(timeline.pass(random.nextInt(9_000)));
            for (int e = 0; e < 2 && !open.isEmpty(); e++) {
                Send send = open.remove(random.nextInt(open.size()));
                Outcome outcome = outcomes[random.nextInt(outcomes.length)];
                if (outcome == Outcome.SERVED && owed.remove(send.request())) {
                    answers.merge(send.request(), 1, Integer::sum);
                }
                actions.addAll(timeline.end(send, outcome));
            }
            collect(actions, open, owed, answers);
        }
        for (int rest = 0; rest < 8; rest++) {
            while (!open.isEmpty()) {
                collect(timeline.end(open.remove(0), Outcome.TIMED_OUT), open, owed, answers);
            }
            collect(timeline.pass(SECOND), open, owed, answers);
        }
        assertEquals(Set.of(), owed);
        answers.forEach((id, n) -> assertEquals(1, n, id));
    }

    private static void collect(List<Action> actions, List<Send> open, Set<String> owed, Map<String, Integer> answers) {
        open.addAll(sends(actions));
        List<String> ended = new ArrayList<>();
        of(actions, Refuse.class).forEach(a -> ended.add(a.request()));
        of(actions, Fail.class).forEach(a -> ended.add(a.request()));
        for (String id : ended) {
            owed.remove(id);
            answers.merge(id, 1, Integer::sum);
        }
    }

    @Test
    void eventsOfUnknownOrFinishedRequestsAreIgnored() {
        Timeline timeline = Timeline.with(0, 1, 3);
        Send ask = onlySend(timeline.read("a", 7));
        timeline.end(ask, Outcome.SERVED);
        assertEquals(List.of(), sends(timeline.end(ask, Outcome.MISS)));
        assertEquals(List.of(), timeline.event(new RequestGone("nobody")));
    }

    @Test
    void aDisconnectedClientCausesNoFetch() {
        Timeline timeline = Timeline.with(0, 1, 3);
        Send ask = onlySend(timeline.read("a", 7));
        timeline.event(new RequestGone("a"));
        assertEquals(List.of(), sends(timeline.end(ask, Outcome.MISS)));
    }

    @Test
    void malformedPeerMessagesAreDropped() {
        Timeline timeline = Timeline.with(0, 3, 3);
        for (byte[] content : new byte[][] {{}, {1, 2, 3}, new byte[PeerStatus.BYTES], new byte[256]}) {
            for (int from : new int[] {-1, 0, 3, 99, 1}) {
                assertEquals(List.of(), timeline.event(new PeerMessage(from, content)));
            }
        }
        assertTrue(!timeline.rules.peers.all[1].fresh && !timeline.rules.peers.all[2].fresh);
    }

    private static byte[] statusMessage(int incarnation, int sequence, float x, int queue) {
        return new PeerStatus(0, 100, 0, queue, queue * 2f, 0, 5, 0, x, 0, 0, 0)
                .encode(incarnation, sequence, CacheLoads.NONE);
    }

    private static void sendLoad(Timeline timeline, int from, int sequence, long cache, int out) {
        byte[] loads = ByteBuffer.allocate(3)
                .putShort((short) CacheLoads.tag(cache))
                .put((byte) out)
                .array();
        PeerStatus quiet = new PeerStatus(0, 100, 0, 0, 0, 0, 5, 0, 0, 0, 0, 0);
        timeline.event(new PeerMessage(from, quiet.encode(from, sequence, loads)));
        timeline.pass(60_000);
    }

    @Test
    void anOverloadedCacheGivesUpTheSameKeysAtEveryBalancer() {
        Timeline one = Timeline.with(0, 3, 6);
        Timeline other = Timeline.with(1, 3, 6);
        Map<Long, Long> before = owners(one, 600);
        sendLoad(one, 2, 1, 3, 12);
        sendLoad(other, 2, 1, 3, 12);
        Map<Long, Long> after = owners(one, 600);
        assertEquals(after, owners(other, 600));
        long kept = after.values().stream().filter(c -> c == 3).count();
        long had = before.values().stream().filter(c -> c == 3).count();
        assertTrue(kept > 0 && kept < had / 2, kept + " of " + had);
        before.forEach((key, owner) -> assertTrue(owner == 3 || owner.equals(after.get(key))));
        one.pass(2 * SECOND); // the peer is silent by now, and its loads are dropped
        assertEquals(before, owners(one, 600));
    }

    /** Receives a state with {@code queue} queued misses from each peer, and lets time pass. */
    private static void exchangeStates(Timeline timeline, int balancers, int sequence, int queue, long micros) {
        PeerStatus status = new PeerStatus(
                timeline.rules.ledger.period,
                timeline.rules.ledger.positionMillis(),
                0,
                queue,
                6.7f,
                0,
                5,
                0,
                100,
                0,
                0,
                0);
        for (int from = 1; from < balancers; from++) {
            timeline.event(new PeerMessage(from, status.encode(from, sequence, CacheLoads.NONE)));
        }
        timeline.pass(micros);
    }

    @Test
    void rotatingCreditsOfALargeTierAreSavedForTheNextMiss() {
        Timeline timeline = Timeline.with(0, 100, 3); // X is 100: a credit per second for each
        int fetched = 0;
        for (int i = 0; i < 20; i++) {
            for (int r = 0; r < 4; r++) {
                exchangeStates(timeline, 100, 5 * i + r + 1, 2, SECOND / 2);
            }
            assertTrue(
                    timeline.rules.ledger.contended,
                    "round " + i + " X " + timeline.rules.budget.effectiveAllowance() + " "
                            + timeline.rules.peers.refreshAndCount());
            timeline.end(onlySend(timeline.read("r" + i, 1000 + i)), Outcome.MISS);
            exchangeStates(timeline, 100, 5 * i + 5, 2, 250_000);
            List<Send> sends = sends(timeline.actions);
            if (sends.get(sends.size() - 1).server() != Timeline.ORIGIN) { // first a recheck of the cache
                timeline.end(sends.get(sends.size() - 1), Outcome.MISS);
                timeline.pass(100_000);
                sends = sends(timeline.actions);
            }
            Send last = sends.get(sends.size() - 1);
            if (last.server() == Timeline.ORIGIN && last.request().equals("r" + i)) {
                fetched++;
                timeline.end(last, Outcome.SERVED);
            }
        }
        assertTrue(fetched >= 16, fetched + " of 20 misses fetched in time");
    }

    /** With the oldest first, an overloaded origin would serve each when its time is nearly over. */
    @Test
    void theNewestOfEquallyWorthyKeysIsFetchedFirst() {
        Timeline timeline = Timeline.with(0, 1, 3);
        List<Send> fetches = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            fetches.addAll(sends(timeline.end(onlySend(timeline.read("r" + i, i)), Outcome.MISS)));
        }
        assertTrue(fetches.size() < 190, fetches.size() + " of 200 at once");
        List<Send> next = new ArrayList<>();
        for (Send fetch : fetches) {
            next.addAll(sends(timeline.end(fetch, Outcome.SERVED)));
        }
        for (int i = 0; i < 10 && next.isEmpty(); i++) {
            next.addAll(sends(timeline.pass(20_000)));
        }
        assertEquals("r199", next.get(0).request());
    }

    @Test
    void readsWithTooLittleTimeAreRefusedAtOnce() {
        Timeline timeline = Timeline.with(0, 1, 3);
        List<Decisions.Action> late = timeline.event(new Decisions.Request(
                "late",
                "read",
                "t",
                true,
                7,
                timeline.now + 100_000,
                0,
                0,
                true,
                false)); // the expected answer time is 200 ms before any answer
        assertEquals(List.of(), sends(late));
        assertEquals("late", Timeline.of(late, Decisions.Refuse.class).get(0).request());
        Send send = onlySend(timeline.event(
                new Decisions.Request("soon", "read", "t", true, 7, timeline.now + 300_000, 0, 0, true, false)));
        assertEquals("soon", send.request());
        timeline.end(send, Outcome.MISS); // writes are sent with any time left
        assertEquals(
                1,
                sends(timeline.event(new Decisions.Request(
                                "w", "write", "t", true, 8, timeline.now + 100_000, 0, 0, false, true)))
                        .size());
    }

    @Test
    void timeoutsStopReadsWithLittleTimeAndAnswersAdmitThemAgain() {
        Timeline timeline = Timeline.with(0, 1, 3);
        for (int i = 0; i < 400 && !sends(readWithLittleTime(timeline, "a" + i)).isEmpty(); i++) {
            Send send = sends(timeline.actions).get(sends(timeline.actions).size() - 1);
            timeline.pass(400_000);
            timeline.event(new Decisions.AttemptEnded(
                    "a" + i, 0, send.server(), Outcome.TIMED_OUT, 400_000, false, 0, new double[0]));
            timeline.pass(100_000);
        }
        assertEquals(
                "b", of(readWithLittleTime(timeline, "b"), Refuse.class).get(0).request());
        timeline.pass(10 * SECOND);
        for (int i = 0;
                i < 400 && sends(readWithLittleTime(timeline, "c" + i)).isEmpty();
                i++) { // reads with their full time are still sent
            timeline.end(onlySend(timeline.read("d" + i, i)), Outcome.SERVED);
            timeline.pass(100_000);
        }
        assertEquals(1, sends(readWithLittleTime(timeline, "e")).size());
    }

    private static List<Decisions.Action> readWithLittleTime(Timeline timeline, String id) {
        return timeline.event(
                new Decisions.Request(id, "read", "t", true, 7, timeline.now + 400_000, 0, 0, true, false));
    }

    @Test
    void timeoutsByShortDeadlinesDoNotLowerTheAllowance() {
        double[] x = new double[2];
        for (int variant = 0; variant < 2; variant++) {
            Timeline timeline = Timeline.with(0, 1, 3);
            for (int i = 0; i < 40; i++) {
                Send write = onlySend(timeline.request("w" + i, "write", i, true));
                timeline.event(new Decisions.AttemptEnded(
                        "w" + i,
                        0,
                        write.server(),
                        Outcome.TIMED_OUT,
                        variant == 0 ? 60_000 : 900_000,
                        true,
                        0,
                        new double[0]));
                timeline.pass(100_000);
            }
            x[variant] = timeline.rules.budget.effectiveAllowance();
        }
        assertTrue(x[0] == 100 && x[1] < 50, "X after short time-outs " + x[0] + ", after long ones " + x[1]);
    }

    @Test
    void oneBalancerOutOfCreditsRaisesTheAllowanceOfAll() {
        for (int queue = 0; queue <= 3; queue += 3) {
            Timeline timeline = Timeline.with(0, 100, 3);
            double before = timeline.rules.budget.effectiveAllowance();
            for (int i = 1; i <= 12; i++) {
                for (int from = 1; from < 100; from++) {
                    boolean busy = from == 7;
                    PeerStatus status = new PeerStatus(
                            timeline.rules.ledger.period,
                            timeline.rules.ledger.positionMillis(),
                            0,
                            busy ? queue : 0,
                            busy ? 4 : 0,
                            busy ? 0 : 1,
                            5,
                            0,
                            0,
                            2 * i,
                            100L * i,
                            0);
                    timeline.event(new PeerMessage(from, status.encode(from, i, CacheLoads.NONE)));
                }
                timeline.pass(SECOND / 2);
            }
            assertTrue(!timeline.rules.ledger.contended);
            double now = timeline.rules.budget.effectiveAllowance();
            assertTrue(queue == 0 ? now == before : now > 3 * before, queue + " queued, X " + before + " to " + now);
        }
    }

    @Test
    void theCostOfMessagesIsBoundedInLargeTiers() {
        int[] sent = new int[2];
        int[] fleets = {4, 100};
        for (int i = 0; i < 2; i++) {
            Timeline timeline = Timeline.withPricedMessages(0, fleets[i], 3);
            for (int r = 0; r < 200; r++) { // ten per second, each of which would cause messages
                Send send = onlySend(timeline.read("r" + r, r));
                timeline.pass(50_000);
                timeline.end(send, Outcome.MISS);
                timeline.pass(50_000);
                List<Send> fetch = sends(timeline.actions);
                timeline.end(fetch.get(fetch.size() - 1), Outcome.SERVED);
            }
            sent[i] = Timeline.of(timeline.actions, Decisions.TellPeer.class).size();
        }
        assertTrue(sent[0] >= 80, "four balancers are not limited: " + sent[0]);
        assertTrue(sent[1] >= 18 && sent[1] <= 24, "a hundred send once per second, " + sent[1]);
    }

    /** Balancers that send in step react to a queue all at once, and oscillate. */
    @Test
    void balancersDoNotSendInStep() {
        List<Timeline> fleet = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            fleet.add(Timeline.withPricedMessages(i, 100, 3));
        }
        int all = 0;
        int most = 0;
        for (int step = 0; step < 200; step++) {
            int telling = 0;
            for (Timeline timeline : fleet) {
                if (step % 4 == 0) {
                    timeline.end(onlySend(timeline.read("r" + step, step)), Outcome.SERVED);
                }
                telling += Timeline.of(timeline.pass(50_000), Decisions.TellPeer.class)
                        .size();
            }
            all += step >= 60 ? telling : 0;
            most = Math.max(most, step >= 60 ? telling : 0);
        }
        assertTrue(all >= 100 && most <= 10, all + " messages in 7 s, " + most + " of 20 in one step");
    }

    @Test
    void attemptsOfPeersCountAgainstTheLimitOfACache() {
        Timeline timeline = Timeline.with(0, 2, 1);
        sendLoad(timeline, 1, 1, 1, (int) Rules.INITIAL_CONCURRENCY_LIMIT);
        assertEquals(List.of(), sends(timeline.read("a", 7)));
        sendLoad(timeline, 1, 2, 1, 0);
        assertEquals(1, sends(timeline.actions).size());
    }

    /** Clients may give up before the aim of their class, and then a shorter queue is too long for them. */
    @Test
    void slowAnswersAreJudgedByTheTimeThatClientsWait() {
        int[] out = new int[2];
        long[] gives = {1_500_000, 380_000};
        for (int variant = 0; variant < 2; variant++) {
            Timeline timeline = Timeline.with(0, 1, 1);
            for (int i = 0; i < 200; i++) {
                Send send = onlySend(timeline.event(
                        new Request("a" + i, "read", "t", true, i, timeline.now + gives[variant], 0, 0, false, false)));
                timeline.event(new Decisions.AttemptEnded(
                        send.request(), 0, send.server(), Outcome.SERVED, 250_000, true, 1, new double[0]));
                timeline.pass(250_000);
            }
            for (int i = 0; i < 40; i++) {
                out[variant] += sends(timeline.read("b" + i, i)).size();
            }
        }
        assertTrue(
                out[0] >= Rules.INITIAL_CONCURRENCY_LIMIT && out[1] <= 4,
                out[0] + " and " + out[1] + " may be outstanding");
    }

    /** In order of arrival all answers would be late under overload. */
    @Test
    void requestsInTimeGoBeforeLateOnes() {
        Timeline timeline = Timeline.with(0, 1, 1);
        List<Send> out = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            out.addAll(sends(timeline.request("old" + i, "patient", i, false)));
        }
        assertEquals((int) Rules.INITIAL_CONCURRENCY_LIMIT, out.size());
        timeline.pass(650_000);
        timeline.request("young", "patient", 77, false);
        assertEquals("young", onlySend(timeline.end(out.get(0), Outcome.SERVED)).request());
        assertEquals(
                "old" + out.size(),
                onlySend(timeline.end(out.get(1), Outcome.SERVED)).request());
    }

    @Test
    void aMissTakesLessOfAColdCachesTokensThanAHit() {
        int[] asked = new int[2];
        List<Long> ownKeys = new ArrayList<>(); // so many that only its tokens limit it
        owners(Timeline.with(0, 1, 4), 3_200).forEach((key, owner) -> {
            if (owner == 4) {
                ownKeys.add(Hash.mix(key + 1));
            }
        });
        for (int variant = 0; variant < 2; variant++) {
            Timeline timeline = Timeline.with(0, 1, 3);
            timeline.list(ListKind.CHANGES, List.of(cache(4, State.RUNNING, timeline.now)));
            for (int i = 0; i < ownKeys.size(); i++) {
                List<Send> sends = sends(timeline.read("r" + i, ownKeys.get(i)));
                for (int tries = 0; !sends.isEmpty() && tries < 3; tries++) {
                    boolean cold = sends.get(0).server() == 4;
                    asked[variant] += cold ? 1 : 0;
                    sends = sends(timeline.end(sends.get(0), cold && variant == 1 ? Outcome.MISS : Outcome.SERVED));
                }
                timeline.pass(10_000);
            }
        }
        assertTrue(asked[1] > 2 * asked[0], asked[0] + " answers, " + asked[1] + " misses");
    }

    @Test
    void reorderedMessagesAreIgnoredAndThoseOfARestartedPeerAccepted() {
        Timeline timeline = Timeline.with(0, 2, 3);
        timeline.event(new PeerMessage(1, statusMessage(7, 5, 50, 0)));
        timeline.event(new PeerMessage(1, statusMessage(7, 4, 10, 0)));
        assertEquals(50, timeline.rules.budget.effectiveAllowance(), 1e-6);
        timeline.event(new PeerMessage(1, statusMessage(8, 1, 20, 0)));
        assertEquals(20, timeline.rules.budget.effectiveAllowance(), 1e-6);
    }

    @Test
    void aPeriodThatAPeerEndsFirstIsStillEvaluated() {
        // The peer's message on the new period arrives just before each own tick.
        Timeline timeline = Timeline.with(1, 2, 3);
        for (int i = 1; i <= 10; i++) {
            PeerStatus status = new PeerStatus(i, 0, 0, 0, 0, 0, 5, 0, 0, 4 * i, 200L * i, 0);
            timeline.event(new PeerMessage(0, status.encode(1, i, CacheLoads.NONE)));
            timeline.pass(999_000);
        }
        assertTrue(timeline.rules.peers.all[0].countedState.answers() >= 4 * 8);
    }

    @Test
    void aBalancerWithoutAnEstimateUsesThoseOfItsPeers() {
        Timeline timeline = Timeline.with(0, 2, 3);
        double first = timeline.rules.budget.effectiveAllowance();
        timeline.event(new PeerMessage(1, statusMessage(7, 1, (float) (4 * first), 0)));
        assertEquals(4 * first, timeline.rules.budget.effectiveAllowance(), 0.01);
    }

    @Test
    void aStaleLowEstimateExpires() {
        Timeline timeline = Timeline.with(0, 2, 3);
        timeline.pass(100_000);
        timeline.event(new PeerMessage(1, statusMessage(7, 1, 1, 0)));
        assertEquals(1, timeline.rules.budget.effectiveAllowance(), 1e-6);
        timeline.pass(10 * SECOND);
        assertTrue(timeline.rules.budget.effectiveAllowance() > 1, "X " + timeline.rules.budget.effectiveAllowance());
    }

    @Test
    void idleTimeDoesNotInflateTheAllowance() {
        Timeline timeline = Timeline.with(0, 1, 3);
        double before = timeline.rules.budget.effectiveAllowance();
        timeline.pass(60 * SECOND);
        assertEquals(before, timeline.rules.budget.effectiveAllowance(), 1e-6);
    }

    @Test
    void theAllowanceFallsOnRefusalsAndRecovers() {
        Timeline timeline = Timeline.with(0, 1, 3);
        double before = timeline.rules.budget.effectiveAllowance();
        flood(timeline, 4, Outcome.FULL);
        double fallen = timeline.rules.budget.effectiveAllowance();
        assertTrue(fallen < before, fallen + " after " + before);
        flood(timeline, 12, Outcome.SERVED);
        assertTrue(
                timeline.rules.budget.effectiveAllowance() > fallen, "X " + timeline.rules.budget.effectiveAllowance());
    }

    /** Causes more misses than credits for some seconds; every fetch has the given outcome. */
    private static void flood(Timeline timeline, int seconds, Outcome origin) {
        int start = timeline.actions.size();
        List<Send> open = new ArrayList<>();
        for (int step = 0; step < seconds * 100; step++) {
            for (int i = 0; i < 5; i++) {
                String id = "f" + start + "-" + step + "-" + i;
                open.addAll(sends(timeline.read(id, Hash.mix(id.hashCode()))));
            }
            open.addAll(sends(timeline.pass(10_000)));
            List<Send> now = new ArrayList<>(open);
            open.clear();
            for (Send send : now) {
                open.addAll(sends(timeline.end(send, send.server() == ORIGIN ? origin : Outcome.MISS)));
            }
        }
        for (int rest = 0; rest < 10; rest++) {
            for (Send send : List.copyOf(open)) {
                timeline.end(send, send.server() == ORIGIN ? origin : Outcome.CANCELLED);
            }
            open.clear();
            open.addAll(sends(timeline.pass(300_000)));
        }
    }

    @Test
    void theStateOfASilentPeerIsIgnored() {
        Timeline timeline = Timeline.with(0, 2, 3);
        timeline.event(new PeerMessage(1, statusMessage(7, 1, 50, 900)));
        timeline.pass(SECOND);
        assertTrue(timeline.rules.ledger.contended, "a fresh peer's queue counts");
        timeline.pass(4 * SECOND);
        assertTrue(!timeline.rules.ledger.contended, "a silent peer's queue does not");
    }

    @Test
    void idleBalancersSendHeartbeatsOnly() {
        Timeline timeline = Timeline.with(0, 30, 3);
        long sent = of(timeline.pass(20 * SECOND), TellPeer.class).size();
        assertTrue(sent >= 15 && sent <= 25, sent + " messages in 20 s");
    }

    @Test
    void aFailedWatchIsRetriedWithBackoff() {
        Timeline timeline = new Timeline(Timeline.settings(0, 2, 6, Membership.ASK, true), 0);
        timeline.list(ListKind.LAST_KNOWN, servers(3));
        List<Long> times = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            if (!of(timeline.pass(10_000), WatchServers.class).isEmpty()) {
                times.add(timeline.now);
                timeline.list(ListKind.FAILED, List.of());
            }
        }
        assertTrue(times.get(1) - times.get(0) < SECOND / 2 + SECOND / 10, "first retry soon: " + times);
        double last = (double) (times.get(times.size() - 1) - times.get(4)) / (times.size() - 5);
        assertTrue(last >= 1.2 * SECOND, "backed off during an outage: " + times);
        for (int i = 1; i < times.size(); i++) {
            long pause = times.get(i) - times.get(i - 1);
            assertTrue(pause >= SECOND / 4 && pause <= 2.1 * SECOND, "bounded delay: " + times);
        }
    }

    @Test
    void pushedListsNeedNoWatch() {
        assertEquals(List.of(), of(Timeline.with(0, 2, 3).pass(20 * SECOND), WatchServers.class));
    }

    @Test
    void settingsOutOfRangeAreNamed() {
        assertThrows(IllegalArgumentException.class, () -> Decisions.start(null));
        IllegalArgumentException e = assertThrows(IllegalArgumentException.class, () -> Timeline.settings(2, 2, 6));
        assertTrue(e.getMessage().contains("index"), e.getMessage());
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Timeline.settings(0, 2, 0))
                .getMessage()
                .contains("maxAttempts"));
    }

    @Test
    void anAllowanceBelowOneStillFetches() {
        Timeline timeline = Timeline.with(0, 2, 3);
        timeline.event(new PeerMessage(1, statusMessage(7, 1, 0.5f, 0)));
        int fetches = 0;
        int sequence = 2;
        for (int s = 0; s < 40; s++) {
            for (Send ask : sends(timeline.read("r" + s, Hash.mix(s + 1)))) {
                List<Action> after = new ArrayList<>(timeline.end(ask, Outcome.MISS));
                after.addAll(timeline.pass(700_000));
                for (Send fetch : sends(after)) {
                    fetches += fetch.server() == ORIGIN ? 1 : 0;
                    timeline.end(fetch, Outcome.SERVED);
                }
            }
            timeline.event(new PeerMessage(1, statusMessage(7, sequence++, 0.5f, 0)));
            timeline.pass(300_000);
        }
        assertTrue(fetches >= 3 && fetches <= 35, fetches + " fetches in 40 s");
    }
}
