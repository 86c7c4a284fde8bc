package baymoor.south;

import baymoor.counters.Count;
import baymoor.counters.Invariant;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import merlinstep.Decisions.Outcome;

/**
 * One connection to a host. It carries one attempt at a time: a request written behind another would wait for that
 * one's answer, and giving either up would break both.
 */
final class HostConnection implements LinkEvents {

    /**
     * Seen: a second copy of an answer behind it, up to 9.5 ms later (40 of them, two after more than 5 ms, when the connection was
     * free again). A connection that went on would take it for the next attempt's answer, so it rests first, twice that long: what
     * comes meanwhile closes it. Answers take ten times that, so few more connections are held.
     */
    private static final long REST_MICROS = 20_000;

    private final South south;
    private final Host host;
    private final Codec codec;
    private Link link;
    private Time.Timer connecting;
    private Time.Timer stalling;
    private Attempt attempt;
    private Outcome ending;
    private boolean up;
    private boolean written;
    private boolean closing;
    long idleSinceMicros;

    HostConnection(South south, Host host, Codec codec, Attempt first) {
        this.south = south;
        this.host = host;
        this.codec = codec;
        attempt = first;
        first.connection = this;
    }

    void dial() {
        // MINA looks at connect time-outs once a second only, so the time is kept here.
        connecting = south.time.after(south.connectMicros, this::close);
        link = south.dialer.dial(host.address, this);
    }

    /**
     * Whether nothing has come in since the last answer, nor the other side's end. Danger: neither may have been told yet,
     * and a second copy of that answer would be taken for the next one's.
     */
    boolean clean() {
        return !link.unread() && !link.over();
    }

    /** Puts an attempt on this idle connection. */
    void carry(Attempt next) {
        Invariant.check(up && attempt == null && !closing, "a connection carries one attempt at a time");
        attempt = next;
        next.connection = this;
        begin();
    }

    private void begin() {
        // Looked at again as the bytes leave: while it waited for a connection the host may have begun to drain.
        if (!south.mayStart(attempt)) {
            Attempt refused = attempt;
            attempt = null;
            host.free(this);
            south.time.after(0, () -> south.end(refused, Reply.without(Outcome.NOT_SENT)));
            return;
        }
        written = false;
        // Rounded down: a host must not be told of more time than the attempt is waited for.
        long waitMillis = Math.max(1, (attempt.untilMicros - south.time.now()) / 1000);
        link.write(attempt.probe() ? codec.probe() : codec.request(attempt.content, waitMillis));
    }

    /** Ends the attempt by closing its connection; its end is told once the connection is closed, not before. */
    void giveUp(Outcome outcome) {
        // Danger: told at once, the next attempt could leave while this one's connection is still open.
        ending = outcome;
        close();
    }

    void close() {
        if (!closing) {
            closing = true;
            host.dropIdle(this);
            link.close();
        }
    }

    @Override
    public void opened() {
        connecting.cancel();
        up = true;
        if (closing) {
            return;
        }
        south.counters.add(Count.CONNECTIONS_OPENED);
        begin();
    }

    @Override
    public void received(byte[] bytes) {
        if (closing) {
            return;
        }
        if (attempt == null) {
            // Danger: what nobody waits for must not become the answer of the next attempt.
            south.counters.add(Count.ANSWERS_UNASKED);
            close();
            return;
        }
        Reply reply = codec.feed(bytes);
        if (stalling != null) {
            stalling.cancel();
        }
        if (reply == null) {
            stalling = south.time.after(south.stallMicros, this::stalled);
            return;
        }
        Attempt answered = attempt;
        attempt = null;
        if (reply.reusable() && written && clean()) {
            south.time.after(REST_MICROS, this::rested);
        } else {
            close();
        }
        south.end(answered, reply);
    }

    private void rested() {
        if (!closing && clean()) {
            host.free(this);
        } else {
            close();
        }
    }

    private void stalled() {
        if (!closing && attempt != null) {
            south.counters.add(Count.ANSWERS_STALLED);
            giveUp(Outcome.ERROR);
        }
    }

    @Override
    public void written() {
        written = true;
    }

    @Override
    public void closed() {
        connecting.cancel();
        if (stalling != null) {
            stalling.cancel();
        }
        closing = true;
        host.dropIdle(this);
        host.connectionCount--;
        south.connectionCount--;
        if (attempt != null) {
            Reply end = ending == null ? codec.end() : null;
            Attempt broken = attempt;
            attempt = null;
            // Whether it may have run turns on its last byte: before that nothing can have begun. Danger: that byte may
            // leave while the connection is being given up, and its word comes before the word of the close, so this
            // is judged here and not when the time-out fell due.
            Outcome broke = ending == null ? Outcome.RESET : ending;
            south.end(
                    broken,
                    end != null
                            ? end
                            : Reply.without(
                                    written || broke == Outcome.CANCELLED || broke == Outcome.ERROR
                                            ? broke
                                            : Outcome.NOT_CONNECTED));
        }
        south.serveWaiting();
    }
}
