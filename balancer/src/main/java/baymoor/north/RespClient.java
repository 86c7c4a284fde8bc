package baymoor.north;

import baymoor.counters.Count;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.north.North.PendingReply;
import baymoor.resp.Resp;
import baymoor.resp.RespException;
import baymoor.resp.RespReader;
import baymoor.resp.RespWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

/**
 * Serves one client connection in RESP2: parses pipelined commands, replies in their order and enforces the
 * connection's timeouts and limits. Called on the decision thread only.
 */
final class RespClient implements LinkEvents {

    /** Longest wait for the first command, and for the rest of a command that has been received in part. */
    private static final long COMMAND_MICROS = 1_500_000;
    /** A new connection without a command is evicted first, but only once it is older than this. */
    private static final long SILENT_MICROS = 300_000;

    private static final long CROWDED_IDLE_MICROS = 2_000_000;
    private static final long IDLE_MICROS = 15_000_000;
    /** Longest time without progress while written replies have not left. */
    private static final long STUCK_MICROS = 5_000_000;
    /** Longest time between closing this side of the connection and the client closing its own. */
    private static final long PARTING_MICROS = 1_000_000;
    /** With this many replies pending, further commands are rejected as busy. */
    private static final int MOST_OWED = 128;
    /** With this many writes unsent, no more input is read; reading resumes below half of it. */
    private static final int MOST_UNWRITTEN = 16;

    private static final int MOST_TOGETHER = 1024;
    private static final long COME_BACK_MICROS = 1_000_000;
    private static final int GET_WORDS = 4;
    private static final int SET_WORDS = 5;
    private static final int LONGEST_NAME = 32;
    private static final byte[] TURNED_AWAY = RespWriter.error(busy(COME_BACK_MICROS));

    private final North north;
    private final Link link;
    private final RespReader reader = RespReader.ofCommands();
    private final Deque<PendingReply> row = new ArrayDeque<>();
    private int unwritten;
    /** Accepted over the connection limit: its first request is rejected and the connection closed. */
    private boolean extra;
    /** Input is ignored: after a protocol error, on shutdown, or once the output is closed. */
    private boolean stopped;
    /** Closing of the output has been requested; input that arrives before it takes effect revokes that. */
    private boolean leaving;

    private boolean finished;
    /** The disconnect has been handled, or its handling is scheduled. */
    private boolean left;

    private boolean paused;
    private boolean spoken;
    /** When the connection was opened, or last received a whole command, sent a reply or was asked to close. */
    private long progressMicros;
    /** Since when the rest of a command has been missing. */
    private long partMicros;
    /** Earliest time at which the last input may have arrived; deadlines count from it. */
    private long cameMicros;

    RespClient(North north, Link link) {
        this.north = north;
        this.link = link;
        progressMicros = north.time.now();
        partMicros = progressMicros;
    }

    boolean hasSentCommand() {
        return spoken;
    }

    /**
     * Returns whether the client is still connected. A disconnect whose event is queued counts too, and is handled after
     * the current event: the request must not be rejected, for want of a sent attempt, before it is reported abandoned.
     */
    boolean isConnected() {
        if (!left && link.over()) {
            left = true;
            north.time.after(0, this::forget);
        }
        return !left;
    }

    long progressMicros() {
        return progressMicros;
    }

    /** Returns whether all commands have been answered and the connection has been idle for longer than this time. */
    boolean hasBeenIdleFor(long micros) {
        return spoken
                && !stopped
                && !leaving
                && isIdle()
                && unwritten == 0
                && north.time.now() - progressMicros > micros;
    }

    /** Returns whether the first command is overdue. */
    boolean isSilent() {
        return !spoken && !stopped && !leaving && !link.unread() && north.time.now() - progressMicros > SILENT_MICROS;
    }

    /** Returns whether the first command may still be in transit. */
    boolean awaitsFirstCommand() {
        return !spoken && !stopped && !leaving && !isSilent();
    }

    /** Closes the connection if one of its timeouts has expired. {@code crowded} shortens the idle timeout. */
    void checkTimeouts(boolean crowded) {
        long now = north.time.now();
        boolean half = !stopped && !leaving && !paused && !link.unread() && (!spoken || reader.pending());
        if (stopped || leaving
                ? row.isEmpty() && now - progressMicros > PARTING_MICROS
                : unwritten > 0 && now - progressMicros > STUCK_MICROS) {
            north.counters.add(Count.CLIENTS_STUCK);
            link.close();
        } else if (half && now - partMicros > COMMAND_MICROS) {
            north.counters.add(Count.CLIENTS_SILENT);
            end(RespWriter.error("ERR no whole command in time"));
        } else if (north.isDraining() && isIdle() && isSilent()) {
            closeAfterReplies();
        } else if (isIdle()
                && !stopped
                && !leaving
                && now - progressMicros > (crowded ? CROWDED_IDLE_MICROS : IDLE_MICROS)) {
            north.counters.add(Count.CLIENTS_IDLE);
            closeAfterReplies();
        }
    }

    /** Returns whether no reply is pending and no input is unprocessed. */
    boolean isIdle() {
        return row.isEmpty() && !reader.pending() && !link.unread();
    }

    /** Returns whether all replies have been sent and the output is closed. */
    boolean isOutputClosed() {
        return finished;
    }

    /** Marks the connection as over the limit: its first request is rejected as busy, then it is closed. */
    void rejectFirstRequest() {
        extra = true;
    }

    /** Closes the output once all replies have been sent, unless input arrives before that. */
    void closeAfterReplies() {
        if (!leaving) {
            leaving = true;
            north.markBusy(this);
            progressMicros = north.time.now();
            link.finish(stopped);
        }
    }

    /** Closes the output once all replies have been sent, whatever arrives; for shutdown. */
    void closeUnconditionally() {
        stop();
        leaving = false;
        closeAfterReplies();
    }

    /** Closes the connection immediately and drops unsent replies. */
    void closeNow() {
        link.close();
    }

    /** Ignores further input and stops reading from the socket. */
    private void stop() {
        if (!stopped) {
            stopped = true;
            north.markBusy(this);
            link.reading(false);
        }
    }

    /** Sends a last reply and closes the connection behind it. */
    private void end(byte[] reply) {
        stop();
        atOnce(reply);
    }

    @Override
    public void opened() {
        // The client sends first.
    }

    @Override
    public void finished() {
        finished = true;
        stopped = true;
    }

    @Override
    public void received(byte[] bytes) {
        // Guards against dispatching requests that a client sent before it disconnected.
        if (stopped || link.over()) {
            return;
        }
        leaving = false; // the input preceded the closing of the output
        north.markBusy(this);
        north.markUsed(this);
        partMicros = reader.pending() ? partMicros : north.time.now();
        cameMicros = north.time.came();
        reader.feed(bytes);
        readOn();
    }

    private void readOn() {
        try {
            while (!stopped && !full()) {
                Resp command = reader.next();
                if (command == null) {
                    break;
                }
                spoken = true;
                progressMicros = north.time.now();
                partMicros = progressMicros;
                if (row.size() >= MOST_OWED) {
                    north.counters.add(Count.TURNED_AWAY);
                    turnAway();
                    continue;
                }
                take(((Resp.Many) command)
                        .items().stream()
                                .map(word -> ((Resp.Bulk) word).bytes())
                                .toList());
            }
        } catch (RespException e) {
            north.counters.add(Count.COMMANDS_BAD);
            end(RespWriter.error("ERR Protocol error: " + e.getMessage()));
        }
        if (!stopped && full() != paused) {
            paused = !paused;
            link.reading(!paused);
        }
    }

    /**
     * Returns whether too many writes are unsent, so that a client that reads no replies can't exhaust the memory.
     * Unanswered commands don't count, since a disconnect goes unnoticed while reading is paused.
     */
    private boolean full() {
        return unwritten >= MOST_UNWRITTEN;
    }

    private void take(List<byte[]> words) {
        String name = new String(words.get(0), StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        switch (name) {
            case "OBJ.GET" -> request(words, GET_WORDS);
            case "OBJ.SET" -> request(words, SET_WORDS);
            case "PING" -> other(words.size() > 1 ? RespWriter.bulk(words.get(1)) : RespWriter.simple("PONG"));
            case "INFO" -> other(RespWriter.bulk(RespWriter.ascii(north.counterReport.get())));
            case "CLIENT", "SELECT" -> other(RespWriter.simple("OK"));
            default -> {
                boolean shown = name.length() <= LONGEST_NAME && name.chars().allMatch(c -> c > ' ' && c < 127);
                bad("unknown command" + (shown ? " '" + name + "'" : ""));
            }
        }
    }

    private void other(byte[] reply) {
        north.counters.add(Count.COMMANDS_OTHER);
        atOnce(reply);
    }

    private void bad(String why) {
        north.counters.add(Count.COMMANDS_BAD);
        atOnce(RespWriter.error("ERR " + why));
    }

    private void request(List<byte[]> words, int count) {
        if (words.size() != count) {
            bad("wrong number of arguments");
            return;
        }
        ClientRequest request;
        try {
            byte[] value = count == SET_WORDS ? words.get(4) : null;
            request = RequestParser.parse(
                    words.get(1), words.get(2), words.get(3), value, north.requestClasses, cameMicros);
        } catch (RequestParser.InvalidRequestException e) {
            bad(e.getMessage());
            return;
        }
        if (north.isIdInUse(request.id())) {
            bad("id is in use"); // one of the two requests would get the other's reply
            return;
        }
        if (extra || north.overCapacity(request)) {
            turnAway();
            return;
        }
        PendingReply pending = north.register(this, request);
        row.addLast(pending);
        north.dispatch(pending, request);
    }

    /** Enqueues a busy reply. Consecutive ones share an entry with a count, so that their number takes no memory. */
    private void turnAway() {
        PendingReply last = row.peekLast();
        if (last != null && last.reply == TURNED_AWAY) {
            last.repeatCount++;
        } else {
            atOnce(TURNED_AWAY);
        }
    }

    private void atOnce(byte[] reply) {
        PendingReply pending = new PendingReply(this, 0, 0);
        pending.reply = reply;
        row.addLast(pending);
        flush();
    }

    void complete(PendingReply pending, Answer answer) {
        pending.reply = answer instanceof Answer.Served served
                ? RespWriter.bulk(served.value())
                : answer instanceof Answer.BackOff wait
                        ? RespWriter.error(busy(wait.afterMicros()))
                        : RespWriter.error("ERR failed");
        flush();
    }

    private static String busy(long micros) {
        return micros > 0 ? "BUSY " + (micros + 999) / 1000 : "BUSY";
    }

    private void flush() {
        while (!row.isEmpty() && row.peekFirst().reply != null && unwritten < MOST_OWED) {
            progressMicros = unwritten++ == 0 && !stopped ? north.time.now() : progressMicros;
            PendingReply first = row.peekFirst();
            int together = Math.min(first.repeatCount, MOST_TOGETHER);
            first.repeatCount -= together;
            if (first.repeatCount == 0) {
                row.removeFirst();
            }
            link.write(together == 1 ? first.reply : RespWriter.repeat(first.reply, together));
        }
        if (row.isEmpty() && (stopped || (extra || north.isDraining()) && isIdle())) {
            closeAfterReplies();
        } else {
            resume();
        }
    }

    @Override
    public void written() {
        unwritten--;
        progressMicros = stopped ? progressMicros : north.time.now();
        if (unwritten == 0 && row.isEmpty() && spoken && !stopped && !leaving) {
            north.markIdle(this);
        }
        if (row.isEmpty()) {
            resume();
        } else {
            flush(); // replies held back until earlier ones were sent
        }
    }

    private void resume() {
        if (paused && !stopped && unwritten < MOST_UNWRITTEN / 2) {
            readOn();
        }
    }

    @Override
    public void closed() {
        if (!left) {
            left = true;
            forget();
        }
    }

    /** Drops the pending replies and reports the disconnect. */
    private void forget() {
        stopped = true;
        north.clientDisconnected(this, List.copyOf(row));
        row.clear();
    }
}
