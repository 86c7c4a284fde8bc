package baymoor.inventory;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.http.HttpException;
import baymoor.http.RequestWriter;
import baymoor.http.ResponseReader;
import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.ServerList;
import org.json.JSONException;

/**
 * Calls discovery: the list once, or a watch. Each call that fails, and a watch that breaks or falls silent, is told as FAILED; when
 * to ask again is the decisions' to say. An answered watch is given up only once another one has answered: when it fell silent,
 * and when discovery moves, where nothing has failed then. A watch that is not answered soon is asked for a second time beside it.
 *
 * <p>Where lists are pushed, what is called is an agent on this machine, which costs nothing and whose every word counts
 * as told: {@link #attend} watches it for good, and no failure is told of, as the list held stays the best there is.
 */
public final class Discovery {

    /** Longer than a discovery lets a call wait (2 and 3 s are known of), so that its own word comes first. */
    private static final long ANSWER_MICROS = 4_000_000;
    /**
     * A call that is taken for dead ({@link CallPacing#deadAfterMicros}) gets a second one beside it, and gives up its place in
     * turn only if that is quicker.
     */
    private static final int MOST_CALLS = 2;
    /** Guards against a cut link, on which a watch just falls silent: an empty line is due every 2 s. */
    private static final long SILENCE_MICROS = 2_500_000;

    private static final int LONGEST_BODY = 1 << 20;
    private static final int OK = 200;
    /**
     * What discovery has to tell counts as told 4 s after the word to move, and the module would wait longer than this
     * after a failure.
     */
    private static final long MOVE_AGAIN_MICROS = 300_000;

    private static final int MOST_MOVES = 20;
    /** A watch for good that ends sooner is no sign that the next one holds: the pause before it doubles from this on. */
    private static final long STEADY_MICROS = 1_000_000;

    private static final long FIRST_PAUSE_MICROS = 10_000;

    private InetSocketAddress address;
    private final Dialer dialer;
    private final Time time;
    private final Inventory inventory;
    private final Counters counters;
    private final Consumer<ServerList> events;
    private final CallPacing pacing;
    private final ListConfirmation confirmation;
    private Runnable unwatched = () -> {};
    /** Whether others have told of discovery's return since the watch was lost. */
    private boolean resumed;

    private long lostMicros;
    /** The watch that has answered, if any, and calls for another, the oldest first. */
    private Call watch;

    private final List<Call> calls = new ArrayList<>();
    private long lastCallMicros;
    /** Whether a watch was ordered, however it stands with it. */
    private boolean ordered;

    private Call asked;
    private Time.Timer nextTry;
    private Time.Timer secondCall;
    /** Tries since discovery moved, 0 where it has not. */
    private int moves;
    /** The longest pause of a watch for good, 0 where watches are ordered; and the present one. */
    private long longestPauseMicros;

    private long pauseMicros;
    private Time.Timer askAgain;

    public Discovery(
            InetSocketAddress address,
            Dialer dialer,
            Time time,
            Inventory inventory,
            Counters counters,
            CallPacing pacing,
            ListConfirmation confirmation,
            Consumer<ServerList> events) {
        this.pacing = pacing;
        this.confirmation = confirmation;
        this.address = address;
        this.dialer = dialer;
        this.time = time;
        this.inventory = inventory;
        this.counters = counters;
        this.events = events;
    }

    /** Has a task run each time the watch has ended or fallen silent. */
    public void whenUnwatched(Runnable task) {
        unwatched = task;
    }

    /** Begins a watch from the version held, once it is this balancer's turn, in the place of the one there is, or ends that. */
    public void watch(boolean on) {
        ordered = on;
        if (!on) {
            stopCalling();
            if (watch != null) {
                watch.abandon();
                watch = null;
                lost();
            }
        } else if (!calling()) {
            callInTurn();
        }
    }

    private void callInTurn() {
        long pause = pacing.pauseMicros();
        if (pause > 0) {
            tryAfter(pause);
        } else {
            call();
        }
    }

    /**
     * Watches from now on for good: a watch that ended is opened anew at once, one that ended soon after short pauses.
     *
     * @param graceMicros how soon what the agent holds has to be known here, at the least after it was unreachable
     */
    public void attend(long graceMicros) {
        longestPauseMicros = Math.max(FIRST_PAUSE_MICROS, graceMicros / 2);
        pauseMicros = 0;
        call();
    }

    private boolean attending() {
        return longestPauseMicros > 0;
    }

    /** The time to wait before a call is tried again, after one that began at {@code since}. */
    private long pause(long since) {
        long next = Math.max(FIRST_PAUSE_MICROS, Math.min(2 * pauseMicros, longestPauseMicros));
        pauseMicros = time.now() - since >= STEADY_MICROS ? 0 : next;
        return pauseMicros;
    }

    /** Discovery is found at another address from now on. */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        stopCalling();
        if (asked != null && !asked.over) {
            asked.abandon();
            ask();
        }
        if (ordered || attending()) {
            moves = 1;
            call();
        }
    }

    /** Whether another watch is on its way, or will be. */
    private boolean calling() {
        return nextTry != null || !calls.isEmpty();
    }

    private void stopCalling() {
        List.copyOf(calls).forEach(Call::abandon);
        calls.clear();
        moves = 0;
        nextTry = cancelled(nextTry);
        secondCall = cancelled(secondCall);
    }

    private static Time.Timer cancelled(Time.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
        return null;
    }

    private void call() {
        nextTry = cancelled(nextTry);
        secondCall = cancelled(secondCall);
        lastCallMicros = time.now();
        calls.add(new Call("/v1/servers?watch=1&from=" + inventory.version(), true));
        callAgainLater();
    }

    /** A call that has no connection yet waits in no queue, and is taken for dead sooner than one that has. */
    private void callAgainLater() {
        if (secondCall == null && !calls.isEmpty() && calls.size() < MOST_CALLS) {
            long dead = lastCallMicros + CallPacing.FIRST_SILENCE_MICROS;
            secondCall = time.after(dead - time.now(), this::callAgainIfDead);
        }
    }

    private void callAgainIfDead() {
        long dead = lastCallMicros + pacing.deadAfterMicros();
        boolean waits = calls.get(calls.size() - 1).opened;
        if (waits && time.now() < dead) {
            secondCall = time.after(dead - time.now(), this::call);
        } else {
            call();
        }
    }

    /** A call for a watch is answered: only now is the old one given up, so that nothing told meanwhile is missed. */
    private void arrived(Call call) {
        calls.remove(call);
        stopCalling();
        if (watch != null) {
            watch.abandon();
        }
        watch = call;
        pacing.ended(CallPacing.End.ANSWERED);
    }

    /**
     * Another balancer's word has come. Where it had the list later than the watch here was lost and discovery found to be
     * down, discovery is up again, and calls that had been put off come sooner.
     */
    public void heardFromOthers() {
        long known = confirmation.completeMicros();
        if (resumed || known <= lostMicros || known <= confirmation.unreachableMicros()) {
            return;
        }
        resumed = true;
        pacing.resumed();
        if (nextTry != null && moves == 0) {
            nextTry = cancelled(nextTry);
            callInTurn();
        }
    }

    private void lost() {
        resumed = false;
        lostMicros = time.now();
        confirmation.watchLost();
        unwatched.run();
    }

    private void failed(Call call) {
        counters.add(Count.INVENTORY_FAILED);
        calls.remove(call);
        if (call == watch) {
            watch = null;
            lost();
        } else {
            pacing.ended(call.ending());
            confirmation.failed(call.ending(), call.since, time.now());
        }
        if (call == asked && attending()) {
            askAgain = time.after(pause(call.since), this::ask);
        } else if (calling()) {
            callAgainLater(); // another watch is on its way, and makes up for it
        } else if (attending()) {
            tryAfter(pause(call.since));
        } else if (moves > 0 && moves < MOST_MOVES) {
            moves++;
            tryAfter(Math.max(MOVE_AGAIN_MICROS, pacing.pauseMicros()));
        } else if (!call.silent) {
            moves = 0;
            secondCall = cancelled(secondCall);
            events.accept(new ServerList(ListKind.FAILED, inventory.version(), List.of()));
        }
    }

    private void tryAfter(long micros) {
        secondCall = cancelled(secondCall);
        nextTry = time.after(micros, this::call);
    }

    /** The watch says nothing any more. It is kept until another one answers, as an agent may have nothing to tell from. */
    private void silent(Call call) {
        if (confirmation.watched()) {
            lost();
        }
        if (calling()) {
            return;
        }
        if (attending()) {
            call();
        } else if (!call.silent) {
            call.silent = true;
            counters.add(Count.INVENTORY_FAILED);
            events.accept(new ServerList(ListKind.FAILED, inventory.version(), List.of()));
        }
    }

    /** Asks once for the whole list; a call that is out already serves as well. */
    public void ask() {
        askAgain = cancelled(askAgain);
        if (asked == null || asked.over) {
            asked = new Call("/v1/servers", false);
        }
    }

    private final class Call implements LinkEvents, ListLines.Hearer {
        private final boolean watching;
        private final String target;
        private final ResponseReader reader = new ResponseReader(LONGEST_BODY);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final ListLines lines = new ListLines(LONGEST_BODY, this);
        private Link link;
        private Time.Timer timeout;
        private final InetSocketAddress at = address;
        private final long since = time.now();
        private boolean answered;
        /** Nothing came for too long, and that was told. */
        private boolean silent;

        private boolean over;
        private boolean opened;
        private boolean timedOut;
        /** Whether it has told what there was, so that all later signs of life say that nothing is missing. */
        private boolean complete;

        Call(String target, boolean watching) {
            this.target = target;
            this.watching = watching;
            counters.add(Count.INVENTORY_CALLS);
            timeout = time.after(ANSWER_MICROS, this::timedOut);
            link = dialer.dial(at, this);
        }

        @Override
        public void opened() {
            opened = true;
            String host = at.getAddress().getHostAddress() + ":" + at.getPort();
            link.write(RequestWriter.request("GET", target, host, Map.of(), null));
        }

        @Override
        public void received(byte[] bytes) {
            if (over) {
                return;
            }
            try {
                reader.feed(bytes);
                if (reader.headed() && reader.status() != OK) {
                    fail();
                    return;
                }
                if (watching && reader.headed() && !answered) {
                    answered = true;
                    alive();
                    arrived(this);
                }
                byte[] more = reader.takeBody();
                if (watching) {
                    lines.feed(more);
                } else {
                    body.writeBytes(more);
                }
                if (reader.whole()) {
                    end();
                }
            } catch (HttpException e) {
                counters.add(Count.INVENTORY_BAD);
                fail();
            }
        }

        private void end() {
            if (watching) {
                fail();
            } else if (tell(body.toString(StandardCharsets.UTF_8))) {
                confirmation.complete(since);
                if (watch != null) {
                    watch.complete = true;
                }
                abandon();
            } else {
                fail();
            }
        }

        @Override
        public void told(String object) {
            if (!over && !tell(object)) {
                ask();
            }
        }

        /** Danger: it may have told of a drain. It is ignored, and the whole list makes up for it. */
        @Override
        public void spoilt() {
            if (!over) {
                counters.add(Count.INVENTORY_BAD);
                complete = false;
                ask();
            }
        }

        /** A line that drips on and never ends is silence too: only its end is a sign of life. */
        @Override
        public void alive() {
            if (!over) {
                silent = false;
                if (watching && complete) {
                    confirmation.watchAlive(time.now());
                }
                listenOn();
            }
        }

        private void listenOn() {
            timeout.cancel();
            timeout = time.after(SILENCE_MICROS, this::timedOut);
        }

        private boolean tell(String text) {
            try {
                ServerList list = watching ? inventory.told(text) : inventory.answered(text);
                counters.add(Count.INVENTORY_LISTS);
                if (list != null) {
                    events.accept(list);
                }
                complete = !inventory.wantsWhole();
                return complete;
            } catch (JSONException e) {
                counters.add(Count.INVENTORY_BAD);
                complete = false;
                return false;
            }
        }

        private void timedOut() {
            if (this == watch) {
                Discovery.this.silent(this);
                listenOn();
            } else {
                timedOut = true;
                fail();
            }
        }

        /** How a call that has failed ended. */
        CallPacing.End ending() {
            if (timedOut) {
                return CallPacing.End.SILENT;
            }
            return opened ? CallPacing.End.TURNED_DOWN : CallPacing.End.REFUSED;
        }

        @Override
        public void written() {
            // Nothing turns on when a call has left.
        }

        @Override
        public void closed() {
            if (!over) {
                reader.end();
                if (!watching && reader.whole()) {
                    end();
                } else {
                    fail();
                }
            }
        }

        private void fail() {
            if (!over) {
                abandon();
                failed(this);
            }
        }

        private void abandon() {
            over = true;
            timeout.cancel();
            link.close();
        }
    }
}
