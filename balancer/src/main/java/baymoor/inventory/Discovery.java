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
 * Client of the discovery service: fetches the whole list once, or watches it for changes. Lists, failed calls and lost
 * watches are reported to the listener as {@link ServerList} events; the decision module says when to call again. An
 * established watch is closed only once its successor has been established, so that no change is missed when it becomes idle
 * or discovery's address changes. A watch call that stays unanswered is hedged by a second one.
 *
 * <p>Where lists are pushed, the peer is an agent on this machine: {@link #watchContinuously} keeps a watch on it permanently and reports
 * no failures, since the list held remains the best one available.
 *
 * <p>All methods are called on the decision thread.
 */
public final class Discovery {

    /** Longer than discovery queues a call (up to 3 s), so that its own error response arrives first. */
    private static final long ANSWER_TIMEOUT_MICROS = 4_000_000;
    /** A watch call and its hedge, which is sent after {@link CallPacing#hedgeDelayMicros}; the first to be answered wins. */
    private static final int MAX_CONCURRENT_CALLS = 2;
    /** Detects a broken connection on which a watch receives nothing: discovery sends a heartbeat line every 2 s. */
    private static final long WATCH_IDLE_TIMEOUT_MICROS = 2_500_000;

    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int HTTP_OK = 200;
    /**
     * Shorter than the decision module's delay after a failure: changes are due within 4 s of the order to use the new address.
     */
    private static final long ADDRESS_CHANGE_RETRY_MICROS = 300_000;

    private static final int MAX_ADDRESS_CHANGE_ATTEMPTS = 20;
    /** A continuous watch that lasted this long resets the reconnect delay; a shorter one doubles it. */
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
    /** Whether a peer has shown, since the watch was lost, that discovery is reachable again. */
    private boolean recoveryReported;

    private long watchLostMicros;
    private long recoveredMicros = Long.MIN_VALUE;
    /** The established watch, or null. */
    private Call watch;

    /** Calls for a new watch that aren't answered yet, the oldest first. */
    private final List<Call> watchCalls = new ArrayList<>();

    private long lastWatchCallMicros;
    /** Whether the decision module wants a watch, established or not. */
    private boolean watchRequested;

    private Call listCall;
    private Time.Timer nextCallTimer;
    private Time.Timer hedgeTimer;
    /** Watch calls made for the current address change, or 0 if none is in progress. */
    private int addressChangeAttempts;
    /** Upper bound of the reconnect delay of a continuous watch, or 0 where watches are started on request. */
    private long maxReconnectDelayMicros;

    private long reconnectDelayMicros;
    private Time.Timer listRetryTimer;

    /**
     * Creates a client that makes no call yet.
     *
     * @param address      discovery's address, or the agent's where lists are pushed
     * @param confirmation is kept informed of the watch's state and of discovery's reachability
     * @param listener     receives each list, and each failure that the decision module has to react to
     */
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

    /** Sets the task that runs each time the watch has ended or become idle. */
    public void onWatchLost(Runnable task) {
        watchLostTask = task;
    }

    /**
     * Starts or stops watching. A new watch resumes from the version held after the delay given by {@link CallPacing}, and
     * replaces the present one once it is established.
     */
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
     * Starts a continuous watch, which is reopened at once when it ends, or after a growing delay if it was short-lived.
     *
     * @param graceMicros time within which the agent's list has to be known here after the agent was unreachable; bounds the
     *                    reconnect delay
     */
    public void watchContinuously(long graceMicros) {
        maxReconnectDelayMicros = Math.max(MIN_RECONNECT_DELAY_MICROS, graceMicros / 2);
        reconnectDelayMicros = 0;
        startWatchCall();
    }

    private boolean watchesContinuously() {
        return maxReconnectDelayMicros > 0;
    }

    /** Returns the delay in microseconds before the next attempt, after a call that was started at the given time. */
    private long nextReconnectDelay(long startedMicros) {
        long nextDelayMicros =
                Math.max(MIN_RECONNECT_DELAY_MICROS, Math.min(2 * reconnectDelayMicros, maxReconnectDelayMicros));
        reconnectDelayMicros = time.now() - startedMicros >= STABLE_WATCH_MICROS ? 0 : nextDelayMicros;
        return reconnectDelayMicros;
    }

    /** Switches to another address of discovery; an established watch is kept until the new one is established. */
    public void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        confirmation.addressChanged(time.now());
        cancelWatchCalls();
        if (listCall != null && !listCall.closed) {
            listCall.cancel();
            fetchList();
        }
        if (watchRequested || watchesContinuously()) {
            addressChangeAttempts = 1;
            startWatchCall();
        }
    }

    /** Returns whether a call for a new watch is in flight or scheduled. */
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

    /** Schedules the hedge at the earliest time: a call without a connection isn't in discovery's queue, so it is hedged first. */
    private void scheduleHedgedCall() {
        if (hedgeTimer == null && !watchCalls.isEmpty() && watchCalls.size() < MAX_CONCURRENT_CALLS) {
            long hedgeAtMicros = lastWatchCallMicros + CallPacing.MIN_HEDGE_DELAY_MICROS;
            hedgeTimer = time.schedule(hedgeAtMicros - time.now(), this::startHedgedCallIfUnanswered);
        }
    }

    private void startHedgedCallIfUnanswered() {
        long hedgeAtMicros = lastWatchCallMicros + pacing.hedgeDelayMicros();
        boolean connected = watchCalls.get(watchCalls.size() - 1).connected;
        if (connected && time.now() < hedgeAtMicros) {
            hedgeTimer = time.schedule(hedgeAtMicros - time.now(), this::startWatchCall);
        } else {
            startWatchCall();
        }
    }

    /** Replaces the old watch only now that its successor is answered, so that no change in between is missed. */
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
     * Handles a confirmation of the list by a peer. If the peer had the list from discovery after the watch was lost here and
     * after discovery was last unreachable, discovery is up again, and a scheduled call is rescheduled sooner.
     */
    public void peerConfirmedList() {
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
        counters.increment(Count.INVENTORY_FAILED);
        watchCalls.remove(call);
        if (call == watch) {
            watch = null;
            handleWatchLost();
        } else {
            if (call.startedMicros >= recoveredMicros) {
                pacing.recordOutcome(call.outcome()); // an earlier call tells nothing about the load after the recovery
            }
            if (confirmation.callFailed(call.outcome(), call.startedMicros, time.now())) {
                counters.increment(Count.INVENTORY_EXTENDED);
            }
        }
        if (call == listCall && watchesContinuously()) {
            listRetryTimer = time.schedule(nextReconnectDelay(call.startedMicros), this::fetchList);
        } else if (watchCallPending()) {
            scheduleHedgedCall(); // the pending call replaces the failed one
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
        nextCallTimer = time.schedule(delayMicros, this::startWatchCall);
    }

    /** Keeps an idle watch until a new one is established: an agent that is cut off from discovery sends nothing either. */
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
            counters.increment(Count.INVENTORY_FAILED);
            listener.accept(new ServerList(ListKind.FAILED, inventory.version(), List.of()));
        }
    }

    /** Fetches the whole list once, unless such a call is already in flight. */
    public void fetchList() {
        listRetryTimer = cancel(listRetryTimer);
        if (listCall == null || listCall.closed) {
            listCall = new Call("/v1/servers", false);
        }
    }

    /** One HTTP call to discovery: a watch, or a request for the whole list. */
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
        /** Whether the listener was told that this watch is idle. */
        private boolean idleReported;

        private boolean closed;
        private boolean connected;
        private boolean timedOut;
        /** Whether the watch has delivered a complete list, so that each heartbeat confirms it. */
        private boolean listComplete;

        Call(String target, boolean isWatch) {
            this.target = target;
            this.isWatch = isWatch;
            counters.increment(Count.INVENTORY_CALLS);
            timeout = time.schedule(ANSWER_TIMEOUT_MICROS, this::handleTimeout);
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
                if (reader.headersComplete() && reader.status() != HTTP_OK) {
                    fail();
                    return;
                }
                if (isWatch && reader.headersComplete() && !established) {
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
                if (reader.isComplete()) {
                    handleResponseEnd();
                }
            } catch (HttpException e) {
                counters.increment(Count.INVENTORY_BAD);
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
                fetchList();
            }
        }

        /** Fetches the whole list, since the lost input may have announced a drain. */
        @Override
        public void onMalformed() {
            if (!closed) {
                counters.increment(Count.INVENTORY_BAD);
                listComplete = false;
                fetchList();
            }
        }

        /** Restarts the idle timer at the end of a line only: a line that never ends counts as idle. */
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
            timeout = time.schedule(WATCH_IDLE_TIMEOUT_MICROS, this::handleTimeout);
        }

        private boolean applyList(String text) {
            try {
                ServerList list = isWatch ? inventory.applyWatchObject(text) : inventory.applyFullList(text);
                counters.increment(Count.INVENTORY_LISTS);
                if (list != null) {
                    listener.accept(list);
                }
                listComplete = !inventory.needsFullList();
                return listComplete;
            } catch (JSONException e) {
                counters.increment(Count.INVENTORY_BAD);
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

        /** Returns how this failed call ended. */
        CallPacing.Outcome outcome() {
            if (timedOut) {
                return CallPacing.Outcome.TIMED_OUT;
            }
            return connected ? CallPacing.Outcome.REJECTED : CallPacing.Outcome.CONNECTION_FAILED;
        }

        @Override
        public void written() {
            // Timeouts run from the start of the call.
        }

        @Override
        public void closed() {
            if (!closed) {
                reader.endOfInput();
                if (!isWatch && reader.isComplete()) {
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
