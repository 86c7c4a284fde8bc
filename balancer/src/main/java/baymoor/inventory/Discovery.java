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
    private static final long ANSWER_TIMEOUT_MICROS = 4_000_000;
    /**
     * A call that is taken for dead ({@link CallPacing#hedgeDelayMicros}) gets a second one beside it, and gives up its place in
     * turn only if that is quicker.
     */
    private static final int MAX_CONCURRENT_CALLS = 2;
    /** Guards against a cut link, on which a watch just falls silent: an empty line is due every 2 s. */
    private static final long WATCH_IDLE_TIMEOUT_MICROS = 2_500_000;

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int HTTP_OK = 200;
    /**
     * What discovery has to tell counts as told 4 s after the word to move, and the module would wait longer than this
     * after a failure.
     */
    private static final long ADDRESS_CHANGE_RETRY_MICROS = 300_000;

    private static final int MAX_ADDRESS_CHANGE_ATTEMPTS = 20;
    /** A watch for good that ends sooner is no sign that the next one holds: the pause before it doubles from this on. */
    private static final long STABLE_WATCH_MICROS = 1_000_000;

    private static final long MIN_RECONNECT_DELAY_MICROS = 10_000;

    private InetSocketAddress address;
    private final Dialer dialer;
    private final Time time;
    private final Inventory inventory;
    private final Counters counters;
    private final Consumer<ServerList> listener;
    private final CallPacing pacing;
    private final ListConfirmation confirmation;
    private Runnable watchLostTask = () -> {};
    /** Whether others have told of discovery's return since the watch was lost. */
    private boolean recoveryReported;

    private long watchLostMicros;
    private long recoveredMicros = Long.MIN_VALUE;
    /** The watch that has answered, if any, and calls for another, the oldest first. */
    private Call watch;

    private final List<Call> watchCalls = new ArrayList<>();
    private long lastWatchCallMicros;
    /** Whether a watch was ordered, however it stands with it. */
    private boolean watchRequested;

    private Call listCall;
    private Time.Timer nextCallTimer;
    private Time.Timer hedgeTimer;
    /** Tries since discovery moved, 0 where it has not. */
    private int addressChangeAttempts;
    /** The longest pause of a watch for good, 0 where watches are ordered; and the present one. */
    private long maxReconnectDelayMicros;

    private long reconnectDelayMicros;
    private Time.Timer listRetryTimer;

    public Discovery(
            InetSocketAddress address,
            Dialer dialer,
            Time time,
            Inventory inventory,
            Counters counters,
            CallPacing pacing,
            ListConfirmation confirmation,
            Consumer<ServerList> listener) {
        this.pacing = pacing;
        this.confirmation = confirmation;
        this.address = address;
        this.dialer = dialer;
        this.time = time;
        this.inventory = inventory;
        this.counters = counters;
        this.listener = listener;
    }

    /** Has a task run each time the watch has ended or fallen silent. */
    public void whenUnwatched(Runnable task) {
        watchLostTask = task;
    }

    /** Begins a watch from the version held, once it is this balancer's turn, in the place of the one there is, or ends that. */
    public void watch(boolean enabled) {
        watchRequested = enabled;
        if (!enabled) {
            cancelWatchCalls();
            if (watch != null) {
                watch.cancel();
                watch = null;
                handleWatchLost();
            }
        } else if (!watchCallPending()) {
            schedulePacedCall();
        }
    }

    private void schedulePacedCall() {
        long delayMicros = pacing.nextDelayMicros();
        if (delayMicros > 0) {
            scheduleWatchCall(delayMicros);
        } else {
            startWatchCall();
        }
    }

    /**
     * Watches from now on for good: a watch that ended is opened anew at once, one that ended soon after short pauses.
     *
     * @param graceMicros how soon what the agent holds has to be known here, at the least after it was unreachable
     */
    public void attend(long graceMicros) {
        maxReconnectDelayMicros = Math.max(MIN_RECONNECT_DELAY_MICROS, graceMicros / 2);
        reconnectDelayMicros = 0;
        startWatchCall();
    }

    private boolean watchesContinuously() {
        return maxReconnectDelayMicros > 0;
    }

    /** The time to wait before a call is tried again, after one that began at {@code startedMicros}. */
    private long nextReconnectDelay(long startedMicros) {
        long nextDelayMicros =
                Math.max(MIN_RECONNECT_DELAY_MICROS, Math.min(2 * reconnectDelayMicros, maxReconnectDelayMicros));
        reconnectDelayMicros = time.now() - startedMicros >= STABLE_WATCH_MICROS ? 0 : nextDelayMicros;
        return reconnectDelayMicros;
    }

    /** Discovery is found at another address from now on. */
    public void move(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        cancelWatchCalls();
        if (listCall != null && !listCall.closed) {
            listCall.cancel();
            ask();
        }
        if (watchRequested || watchesContinuously()) {
            addressChangeAttempts = 1;
            startWatchCall();
        }
    }

    /** Whether another watch is on its way, or will be. */
    private boolean watchCallPending() {
        return nextCallTimer != null || !watchCalls.isEmpty();
    }

    private void cancelWatchCalls() {
        List.copyOf(watchCalls).forEach(Call::cancel);
        watchCalls.clear();
        addressChangeAttempts = 0;
        nextCallTimer = cancel(nextCallTimer);
        hedgeTimer = cancel(hedgeTimer);
    }

    private static Time.Timer cancel(Time.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
        return null;
    }

    private void startWatchCall() {
        nextCallTimer = cancel(nextCallTimer);
        hedgeTimer = cancel(hedgeTimer);
        lastWatchCallMicros = time.now();
        watchCalls.add(new Call("/v1/servers?watch=1&from=" + inventory.version(), true));
        scheduleHedgedCall();
    }

    /** A call that has no connection yet waits in no queue, and is taken for dead sooner than one that has. */
    private void scheduleHedgedCall() {
        if (hedgeTimer == null && !watchCalls.isEmpty() && watchCalls.size() < MAX_CONCURRENT_CALLS) {
            long hedgeAtMicros = lastWatchCallMicros + CallPacing.MIN_HEDGE_DELAY_MICROS;
            hedgeTimer = time.after(hedgeAtMicros - time.now(), this::startHedgedCallIfUnanswered);
        }
    }

    private void startHedgedCallIfUnanswered() {
        long hedgeAtMicros = lastWatchCallMicros + pacing.hedgeDelayMicros();
        boolean connected = watchCalls.get(watchCalls.size() - 1).connected;
        if (connected && time.now() < hedgeAtMicros) {
            hedgeTimer = time.after(hedgeAtMicros - time.now(), this::startWatchCall);
        } else {
            startWatchCall();
        }
    }

    /** A call for a watch is answered: only now is the old one given up, so that nothing told meanwhile is missed. */
    private void handleWatchEstablished(Call call) {
        watchCalls.remove(call);
        cancelWatchCalls();
        if (watch != null) {
            watch.cancel();
        }
        watch = call;
        pacing.recordOutcome(CallPacing.Outcome.ANSWERED);
    }

    /**
     * Another balancer's word has come. Where it had the list later than the watch here was lost and discovery found to be
     * down, discovery is up again, and calls that had been put off come sooner.
     */
    public void heardFromOthers() {
        long confirmedMicros = confirmation.lastCompleteMicros();
        if (recoveryReported
                || confirmedMicros <= watchLostMicros
                || confirmedMicros <= confirmation.lastUnreachableMicros()) {
            return;
        }
        recoveryReported = true;
        recoveredMicros = time.now();
        pacing.discoveryRecovered();
        if (nextCallTimer != null && addressChangeAttempts == 0) {
            nextCallTimer = cancel(nextCallTimer);
            schedulePacedCall();
        }
    }

    private void handleWatchLost() {
        recoveryReported = false;
        watchLostMicros = time.now();
        confirmation.watchLost();
        watchLostTask.run();
    }

    private void handleCallFailure(Call call) {
        counters.add(Count.INVENTORY_FAILED);
        watchCalls.remove(call);
        if (call == watch) {
            watch = null;
            handleWatchLost();
        } else {
            if (call.startedMicros >= recoveredMicros) {
                pacing.recordOutcome(
                        call.outcome()); // one from before discovery's return says nothing of how many call now
            }
            confirmation.callFailed(call.outcome(), call.startedMicros, time.now());
        }
        if (call == listCall && watchesContinuously()) {
            listRetryTimer = time.after(nextReconnectDelay(call.startedMicros), this::ask);
        } else if (watchCallPending()) {
            scheduleHedgedCall(); // another watch is on its way, and makes up for it
        } else if (watchesContinuously()) {
            scheduleWatchCall(nextReconnectDelay(call.startedMicros));
        } else if (addressChangeAttempts > 0 && addressChangeAttempts < MAX_ADDRESS_CHANGE_ATTEMPTS) {
            addressChangeAttempts++;
            scheduleWatchCall(Math.max(ADDRESS_CHANGE_RETRY_MICROS, pacing.nextDelayMicros()));
        } else if (!call.idleReported) {
            addressChangeAttempts = 0;
            hedgeTimer = cancel(hedgeTimer);
            listener.accept(new ServerList(ListKind.FAILED, inventory.version(), List.of()));
        }
    }

    private void scheduleWatchCall(long delayMicros) {
        hedgeTimer = cancel(hedgeTimer);
        nextCallTimer = time.after(delayMicros, this::startWatchCall);
    }

    /** The watch says nothing any more. It is kept until another one answers, as an agent may have nothing to tell from. */
    private void handleWatchIdle(Call call) {
        if (confirmation.hasLiveWatch()) {
            handleWatchLost();
        }
        if (watchCallPending()) {
            return;
        }
        if (watchesContinuously()) {
            startWatchCall();
        } else if (!call.idleReported) {
            call.idleReported = true;
            counters.add(Count.INVENTORY_FAILED);
            listener.accept(new ServerList(ListKind.FAILED, inventory.version(), List.of()));
        }
    }

    /** Asks once for the whole list; a call that is out already serves as well. */
    public void ask() {
        listRetryTimer = cancel(listRetryTimer);
        if (listCall == null || listCall.closed) {
            listCall = new Call("/v1/servers", false);
        }
    }

    private final class Call implements LinkEvents, ListLines.Listener {
        private final boolean isWatch;
        private final String target;
        private final ResponseReader reader = new ResponseReader(MAX_BODY_BYTES);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final ListLines lines = new ListLines(MAX_BODY_BYTES, this);
        private Link link;
        private Time.Timer timeout;
        private final InetSocketAddress remoteAddress = address;
        private final long startedMicros = time.now();
        private boolean established;
        /** Nothing came for too long, and that was told. */
        private boolean idleReported;

        private boolean closed;
        private boolean connected;
        private boolean timedOut;
        /** Whether it has told what there was, so that all later signs of life say that nothing is missing. */
        private boolean listComplete;

        Call(String target, boolean isWatch) {
            this.target = target;
            this.isWatch = isWatch;
            counters.add(Count.INVENTORY_CALLS);
            timeout = time.after(ANSWER_TIMEOUT_MICROS, this::handleTimeout);
            link = dialer.dial(remoteAddress, this);
        }

        @Override
        public void opened() {
            connected = true;
            String host = remoteAddress.getAddress().getHostAddress() + ":" + remoteAddress.getPort();
            link.write(RequestWriter.request("GET", target, host, Map.of(), null));
        }

        @Override
        public void received(byte[] bytes) {
            if (closed) {
                return;
            }
            try {
                reader.feed(bytes);
                if (reader.headed() && reader.status() != HTTP_OK) {
                    fail();
                    return;
                }
                if (isWatch && reader.headed() && !established) {
                    established = true;
                    onHeartbeat();
                    handleWatchEstablished(this);
                }
                byte[] bodyBytes = reader.takeBody();
                if (isWatch) {
                    lines.feed(bodyBytes);
                } else {
                    body.writeBytes(bodyBytes);
                }
                if (reader.whole()) {
                    handleResponseEnd();
                }
            } catch (HttpException e) {
                counters.add(Count.INVENTORY_BAD);
                fail();
            }
        }

        private void handleResponseEnd() {
            if (isWatch) {
                fail();
            } else if (applyList(body.toString(StandardCharsets.UTF_8))) {
                confirmation.recordComplete(startedMicros);
                if (watch != null) {
                    watch.listComplete = true;
                }
                cancel();
            } else {
                fail();
            }
        }

        @Override
        public void onObject(String object) {
            if (!closed && !applyList(object)) {
                ask();
            }
        }

        /** Danger: it may have told of a drain. It is ignored, and the whole list makes up for it. */
        @Override
        public void onMalformed() {
            if (!closed) {
                counters.add(Count.INVENTORY_BAD);
                listComplete = false;
                ask();
            }
        }

        /** A line that drips on and never ends is silence too: only its end is a sign of life. */
        @Override
        public void onHeartbeat() {
            if (!closed) {
                idleReported = false;
                if (isWatch && listComplete) {
                    confirmation.watchHeartbeat(time.now());
                }
                restartIdleTimer();
            }
        }

        private void restartIdleTimer() {
            timeout.cancel();
            timeout = time.after(WATCH_IDLE_TIMEOUT_MICROS, this::handleTimeout);
        }

        private boolean applyList(String text) {
            try {
                ServerList list = isWatch ? inventory.applyWatchObject(text) : inventory.applyFullList(text);
                counters.add(Count.INVENTORY_LISTS);
                if (list != null) {
                    listener.accept(list);
                }
                listComplete = !inventory.needsFullList();
                return listComplete;
            } catch (JSONException e) {
                counters.add(Count.INVENTORY_BAD);
                listComplete = false;
                return false;
            }
        }

        private void handleTimeout() {
            if (this == watch) {
                Discovery.this.handleWatchIdle(this);
                restartIdleTimer();
            } else {
                timedOut = true;
                fail();
            }
        }

        /** How a call that has failed ended. */
        CallPacing.Outcome outcome() {
            if (timedOut) {
                return CallPacing.Outcome.TIMED_OUT;
            }
            return connected ? CallPacing.Outcome.REJECTED : CallPacing.Outcome.CONNECTION_FAILED;
        }

        @Override
        public void written() {
            // Nothing turns on when a call has left.
        }

        @Override
        public void closed() {
            if (!closed) {
                reader.end();
                if (!isWatch && reader.whole()) {
                    handleResponseEnd();
                } else {
                    fail();
                }
            }
        }

        private void fail() {
            if (!closed) {
                cancel();
                handleCallFailure(this);
            }
        }

        private void cancel() {
            closed = true;
            timeout.cancel();
            link.close();
        }
    }
}
