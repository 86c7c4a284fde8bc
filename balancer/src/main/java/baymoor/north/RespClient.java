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

/** One client's connection in RESP2: reads commands, and answers them in their order. */
final class RespClient implements LinkEvents {

    /**
     * Seen: connections that say nothing, or half a command, and stay. What has not sent its first whole command by
     * now, or has begun one and not ended it for so long, is closed.
     */
    private static final long COMMAND_MICROS = 1_500_000;
    /** A client's first request comes right behind its connection; one silent for longer is the first to go. */
    private static final long SILENT_MICROS = 300_000;
    /** Between requests a connection may go after 2 s; while there is room it stays longer. */
    private static final long CROWDED_IDLE_MICROS = 2_000_000;

    private static final long IDLE_MICROS = 15_000_000;
    /** Who takes nothing of its answers for so long, or does not end a connection that is over, is cut off. */
    private static final long STUCK_MICROS = 5_000_000;

    private static final long PARTING_MICROS = 1_000_000;
    /** Past so many answers that are owed here, commands are turned away unread, with the first of that row of refusals. */
    private static final int MOST_OWED = 128;

    private static final int MOST_UNWRITTEN = 16;
    /** Refusals written at once. */
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
    private boolean extra;
    /** Nothing more is read: it said what can't be read, or this side's end has gone out. */
    private boolean stopped;
    /** It is to end unless something comes in before that; and it has ended on this side. */
    private boolean leaving;

    private boolean finished;
    /** Its end has been dealt with, or is next. */
    private boolean left;

    private boolean paused;
    private boolean spoken;
    /** When this connection last got on: came up, brought a whole command, sent an answer, or was ended. */
    private long progressMicros;
    /** Since when it lacks the end of a command. */
    private long partMicros;
    /** When the last bytes may have come in: clients count their time from before that. */
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
     * Whether the client is still connected. The connection may be over though its end is still queued behind other events;
     * once that is noticed here, the end is dealt with right after the present event. Danger: seen was that a connection to a
     * router came up in between, each attempt of a client that had left ended as not sent, and after five of them, all before
     * the client's end was told, the request counted as refused and not as gone.
     */
    boolean isConnected() {
        if (!left && link.over()) {
            left = true;
            north.time.after(0, this::forget);
        }
        return !left;
    }

    /** Since when nothing has moved here. */
    long progressMicros() {
        return progressMicros;
    }

    /** Whether it has been served and wants nothing for so long. */
    boolean hasBeenIdleFor(long micros) {
        return spoken
                && !stopped
                && !leaving
                && isIdle()
                && unwritten == 0
                && north.time.now() - progressMicros > micros;
    }

    /** Whether nothing whole ever came, for longer than a client's first request is on its way. */
    boolean isSilent() {
        return !spoken && !stopped && !leaving && !link.unread() && north.time.now() - progressMicros > SILENT_MICROS;
    }

    /** Whether its first request may still be on the way: no client opens a connection for nothing. */
    boolean awaitsFirstCommand() {
        return !spoken && !stopped && !leaving && !isSilent();
    }

    /** Closes the connection if it has waited too long for what does not come. */
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

    boolean isIdle() {
        return row.isEmpty() && !reader.pending() && !link.unread();
    }

    /** Whether every answer has left, and then this side's end. */
    boolean isOutputClosed() {
        return finished;
    }

    /** There are too many connections, all of them busy: the first request here is turned away, then it is closed. */
    void rejectFirstRequest() {
        extra = true;
    }

    /** Ends this connection once all answers have left, unless a command comes in before that. */
    void closeAfterReplies() {
        if (!leaving) {
            leaving = true;
            north.markBusy(this);
            progressMicros = north.time.now();
            link.finish(stopped);
        }
    }

    /** Ends it in any case: the program does. */
    void closeUnconditionally() {
        stop();
        leaving = false;
        closeAfterReplies();
    }

    /** At once, where it has had its time to end. */
    void closeNow() {
        link.close();
    }

    /** Reads nothing more: seen was a client that sends 60 MB on, whatever it is told. */
    private void stop() {
        if (!stopped) {
            stopped = true;
            north.markBusy(this);
            link.reading(false);
        }
    }

    /** Answers once more, and closes once that has left. */
    private void end(byte[] reply) {
        stop();
        atOnce(reply);
    }

    @Override
    public void opened() {
        // A client speaks first.
    }

    @Override
    public void finished() {
        finished = true;
        stopped = true;
    }

    @Override
    public void received(byte[] bytes) {
        // Danger: what a client that has left sent before that would still be sent on, after a hold-up long after it
        // left.
        if (stopped || link.over()) {
            return;
        }
        leaving = false; // this came in before the end could go out
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
     * Guards against a client that sends on and on but reads nothing: its answers would fill the memory. Danger: while
     * nothing is read its end isn't seen either, and what it wants is sent on though it has left. So this turns on answers
     * that do not leave, as theirs is an end that is seen, and not on the number of commands that wait.
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
            // Seen: the id of another client's request that is open. One of the two would get the other's answer.
            bad("id is in use");
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

    /** One more refusal; a row of them at the end is kept as one with its number, as a client may send on without end. */
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
            flush(); // what was held back until earlier answers had left
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

    /** Nothing is owed here any more. */
    private void forget() {
        stopped = true;
        north.clientDisconnected(this, List.copyOf(row));
        row.clear();
    }
}
