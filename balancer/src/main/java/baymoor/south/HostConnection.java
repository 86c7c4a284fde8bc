package baymoor.south;

import baymoor.counters.Count;
import baymoor.counters.Invariant;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.util.List;
import merlinstep.Decisions.Outcome;

/**
 * One connection to a host. It carries one attempt at a time and does not pipeline: a second request would wait for the
 * answer to the first, and aborting either of them would abort both.
 */
final class HostConnection implements LinkEvents {

    /**
     * How long a connection stays unused after an answer. A router may send an answer twice, the copy some milliseconds after
     * the first; on a connection that is reused at once it would be read as the answer to the next attempt. Bytes that arrive
     * in this time close the connection.
     */
    private static final long QUIET_MICROS = 20_000;

    private final South south;
    private final Host host;
    private final Codec codec;
    private Link link;
    private Time.Timer connectTimer;
    private Time.Timer stallTimer;
    private Attempt attempt;
    private Outcome abortOutcome;
    private boolean open;
    /** Parts of the last request that have not been written yet; above 0 also before the first request. */
    private int unwrittenParts = 1;
    /** What is reserved for the answer that is being received. */
    private int reservedBytes;
    /** Bytes that have to be reserved before the answer is read on, or 0. */
    private int missingBytes;

    private boolean closing;
    /** The host has closed its output in order. */
    private boolean inputEnded;

    long idleSinceMicros;

    HostConnection(South south, Host host, Codec codec, Attempt firstAttempt) {
        this.south = south;
        this.host = host;
        this.codec = codec;
        attempt = firstAttempt;
        firstAttempt.connection = this;
    }

    void dial() {
        // MINA checks connect time-outs only once a second, so the time-out is kept here.
        connectTimer = south.time.schedule(south.connectTimeoutMicros, this::close);
        link = south.dialer.dial(host.address, this);
    }

    /**
     * Returns whether the connection can carry another attempt: no bytes have arrived since the last answer, and the host has
     * not closed it. The link is asked, since its events may still be queued: a duplicate of the last answer would be read as
     * the answer to the next attempt.
     */
    boolean reusable() {
        return !link.hasUnreadBytes() && !link.isClosed();
    }

    /** Starts an attempt on this idle connection. */
    void assign(Attempt newAttempt) {
        Invariant.check(open && attempt == null && !closing, "a connection carries one attempt at a time");
        attempt = newAttempt;
        newAttempt.connection = this;
        writeRequest();
    }

    private void writeRequest() {
        // Checked again right before writing: the host may have begun to drain while the attempt was queued.
        if (!south.maySend(attempt)) {
            Attempt refused = attempt;
            attempt = null;
            host.addIdleConnection(this);
            south.time.schedule(0, () -> south.endAttempt(refused, Reply.withoutAnswer(Outcome.NOT_SENT)));
            return;
        }
        // Rounded down, so that the host is never given more time than this balancer waits.
        long waitMillis = Math.max(1, (attempt.deadlineMicros - south.time.now()) / 1000);
        List<byte[]> parts = attempt.isProbe() ? List.of(codec.probe()) : codec.request(attempt.content, waitMillis);
        unwrittenParts = parts.size();
        parts.forEach(link::write);
    }

    private boolean isRequestWritten() {
        return unwrittenParts == 0;
    }

    /**
     * Ends the attempt by closing its connection. The outcome is reported once the connection is closed: until then this
     * attempt may still reach the host, and the next one must not be sent.
     */
    void abort(Outcome outcome) {
        abortOutcome = outcome;
        close();
    }

    void close() {
        if (!closing) {
            closing = true;
            host.removeIdleConnection(this);
            link.close();
        }
    }

    @Override
    public void opened() {
        connectTimer.cancel();
        open = true;
        if (closing) {
            return;
        }
        south.counters.increment(Count.CONNECTIONS_OPENED);
        link.setReceiveWindow(south.answerMemory.windowBytes());
        writeRequest();
    }

    @Override
    public void received(byte[] bytes) {
        if (closing) {
            return;
        }
        if (attempt == null) {
            // Unsolicited bytes must never be read as the answer to the next attempt.
            south.counters.increment(Count.ANSWERS_UNASKED);
            close();
            return;
        }
        Reply reply = codec.feed(bytes);
        if (stallTimer != null) {
            stallTimer.cancel();
        }
        if (reply == null) {
            reserveForAnswer();
            return;
        }
        releaseReservation();
        Attempt answered = attempt;
        attempt = null;
        if (reply.reusable() && isRequestWritten() && reusable()) {
            south.time.schedule(QUIET_MICROS, this::returnToIdle);
        } else {
            close();
        }
        south.endAttempt(answered, reply);
    }

    /** Reads on if the answer fits into the connection's window or into memory that is reserved for it. */
    private void reserveForAnswer() {
        int requiredBytes = codec.requiredBytes();
        if (requiredBytes <= Math.max(reservedBytes, south.answerMemory.windowBytes())) {
            scheduleStallTimer();
            return;
        }
        missingBytes = requiredBytes - reservedBytes;
        if (south.answerMemory.tryReserve(this)) {
            reserved();
        } else {
            link.setReading(false);
        }
    }

    boolean hasReservation() {
        return reservedBytes > 0;
    }

    int missingBytes() {
        return missingBytes;
    }

    /** Reads the answer on, with what was missing reserved for it. */
    void reserved() {
        reservedBytes += missingBytes;
        missingBytes = 0;
        codec.reserveBuffer();
        link.setReceiveWindow(south.answerMemory.reservedWindowBytes(reservedBytes));
        link.setReading(true);
        scheduleStallTimer();
    }

    private void scheduleStallTimer() {
        stallTimer = south.time.schedule(south.stallTimeoutMicros, this::abortStalled);
    }

    /** Ends the reservation, or the wait for one. */
    private void releaseReservation() {
        if (reservedBytes == 0 && missingBytes == 0) {
            return;
        }
        int bytes = reservedBytes;
        reservedBytes = 0;
        missingBytes = 0;
        if (!closing) {
            link.setReceiveWindow(south.answerMemory.windowBytes());
            link.setReading(true);
        }
        south.answerMemory.release(this, bytes);
    }

    private void returnToIdle() {
        if (!closing && reusable()) {
            host.addIdleConnection(this);
        } else {
            close();
        }
    }

    private void abortStalled() {
        if (!closing && attempt != null) {
            south.counters.increment(Count.ANSWERS_STALLED);
            abort(Outcome.ERROR);
        }
    }

    @Override
    public void written() {
        unwrittenParts--;
    }

    @Override
    public void inputEnded() {
        inputEnded = true;
    }

    @Override
    public void closed() {
        connectTimer.cancel();
        if (stallTimer != null) {
            stallTimer.cancel();
        }
        closing = true;
        releaseReservation();
        host.removeIdleConnection(this);
        host.connectionCount--;
        south.connectionCount--;
        if (attempt != null) {
            Reply finalReply = abortOutcome == null ? codec.end(inputEnded) : null;
            Attempt interrupted = attempt;
            attempt = null;
            // The host can have run the request only if its last byte was written; otherwise it is NOT_CONNECTED.
            // This is decided here and not when the time-out fires, since the last byte may be written while the
            // connection is being closed; the event for it is always delivered before this one.
            Outcome outcome = abortOutcome == null ? Outcome.RESET : abortOutcome;
            south.endAttempt(
                    interrupted,
                    finalReply != null
                            ? finalReply
                            : Reply.withoutAnswer(
                                    isRequestWritten() || outcome == Outcome.CANCELLED || outcome == Outcome.ERROR
                                            ? outcome
                                            : Outcome.NOT_CONNECTED));
        }
        south.scheduleAssignment();
    }
}
