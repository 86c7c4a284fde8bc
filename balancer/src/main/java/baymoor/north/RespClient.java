package baymoor.north;

import baymoor.counters.Count;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.memory.ClientMemory.Part;
import baymoor.resp.Resp;
import baymoor.resp.RespException;
import baymoor.resp.RespWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * Serves one client connection in RESP2: parses pipelined commands, replies in their order and enforces the
 * connection's timeouts and limits. Called on the decision thread only.
 */
final class RespClient implements LinkEvents {

    /**
     * Longest wait for the first command, and for the rest of a command that has been received in part. Hundreds of clients may
     * connect, or send half a command, and stay.
     */
    private static final long COMMAND_TIMEOUT_MICROS = 1_500_000;
    /** A new connection without a command is evicted first, but only once it is older than this. */
    private static final long FIRST_COMMAND_GRACE_MICROS = 300_000;
    /** A connection with part of a command is evicted first, but only once the rest is missing for longer than this. */
    private static final long PARTIAL_COMMAND_GRACE_MICROS = 50_000;

    private static final long CROWDED_IDLE_TIMEOUT_MICROS = 2_000_000;
    private static final long IDLE_TIMEOUT_MICROS = 15_000_000;
    /** Longest time without progress while written replies have not left. */
    private static final long WRITE_TIMEOUT_MICROS = 5_000_000;
    /** The same while the memory for unsent replies is half used up. */
    private static final long SCARCE_WRITE_TIMEOUT_MICROS = 1_000_000;
    /** Longest time between closing this side of the connection and the client closing its own. */
    private static final long CLOSE_TIMEOUT_MICROS = 1_000_000;
    /** With this many replies pending, further commands are rejected as busy. */
    private static final int MAX_PENDING_REPLIES = 128;
    /** With this many writes unsent, no more input is read; reading resumes below half of it. */
    private static final int MAX_UNSENT_WRITES = 16;

    private static final int GET_ARITY = 4;
    private static final int SET_ARITY = 5;

    private final North north;
    private final Link link;
    private final CommandInput input;
    private final ReplyQueue replies;
    /** Accepted over the connection limit: its first request is rejected and the connection closed. */
    private boolean overLimit;
    /** Input is ignored: after a protocol error, on shutdown, or once the output is closed. */
    private boolean inputStopped;
    /** Closing of the output has been requested; input that arrives before it takes effect revokes that. */
    private boolean closing;

    private boolean outputClosed;
    /** The disconnect has been handled, or its handling is scheduled. */
    private boolean disconnected;

    private boolean readingPaused;
    private boolean commandReceived;
    /** When the connection was opened, or last received a whole command, sent a reply or was asked to close. */
    private long progressMicros;
    /** Since when the rest of a command has been missing. */
    private long commandStartMicros;
    /** Earliest time at which the last input may have arrived; deadlines count from it. */
    private long earliestArrivalMicros;

    RespClient(North north, Link link) {
        this.north = north;
        this.link = link;
        input = new CommandInput(link, north.memory);
        replies = new ReplyQueue(link, north.memory);
        progressMicros = north.time.now();
        commandStartMicros = progressMicros;
    }

    boolean hasSentCommand() {
        return commandReceived;
    }

    /**
     * Returns whether the client is still connected. A disconnect whose event is queued counts too, and is handled after
     * the current event: the request must not be rejected, for want of a sent attempt, before it is reported abandoned.
     */
    boolean isConnected() {
        if (!disconnected && link.isClosed()) {
            disconnected = true;
            north.time.schedule(0, this::abandonPending);
        }
        return !disconnected;
    }

    long progressMicros() {
        return progressMicros;
    }

    /** Returns whether at least one command came, all were answered, and nothing happened for longer than this time. */
    boolean hasBeenIdleFor(long micros) {
        return commandReceived
                && !inputStopped
                && !closing
                && isIdle()
                && replies.unsentWrites() == 0
                && north.time.now() - progressMicros > micros;
    }

    /** Returns whether the first command is overdue. */
    boolean isSilent() {
        return !commandReceived
                && !inputStopped
                && !closing
                && !link.hasUnreadBytes()
                && north.time.now() - progressMicros > FIRST_COMMAND_GRACE_MICROS;
    }

    /** Returns whether the first command, or the rest of any, is missing and nothing that has arrived is unprocessed. */
    private boolean awaitsCommand() {
        return !inputStopped
                && !closing
                && !readingPaused
                && !link.hasUnreadBytes()
                && (!commandReceived || input.hasPartialCommand());
    }

    /** Returns whether the first command or the rest of a command is overdue, and the client waits for no reply. */
    boolean owesCommand() {
        boolean restOverdue = awaitsCommand()
                && input.hasPartialCommand()
                && north.time.now() - commandStartMicros > PARTIAL_COMMAND_GRACE_MICROS;
        return replies.isEmpty() && (restOverdue || isSilent());
    }

    /** Returns whether the first command may still be in transit. */
    boolean awaitsFirstCommand() {
        return !commandReceived && !inputStopped && !closing && !isSilent();
    }

    /** Closes the connection if one of its timeouts has expired. {@code crowded} shortens the idle timeout. */
    void checkTimeouts(boolean crowded) {
        long now = north.time.now();
        if (inputStopped || closing
                ? replies.isEmpty() && now - progressMicros > CLOSE_TIMEOUT_MICROS
                : replies.unsentWrites() > 0 && now - progressMicros > writeTimeoutMicros()) {
            north.counters.increment(Count.CLIENTS_STUCK);
            link.close();
        } else if (awaitsCommand() && now - commandStartMicros > COMMAND_TIMEOUT_MICROS) {
            north.counters.increment(Count.CLIENTS_SILENT);
            replyAndClose(RespWriter.error("ERR no whole command in time"));
        } else if (north.isDraining() && isIdle() && isSilent()) {
            closeAfterReplies();
        } else if (isIdle()
                && !inputStopped
                && !closing
                && now - progressMicros > (crowded ? CROWDED_IDLE_TIMEOUT_MICROS : IDLE_TIMEOUT_MICROS)) {
            north.counters.increment(Count.CLIENTS_IDLE);
            closeAfterReplies();
        }
    }

    /** Returns the write timeout, which is shorter while unsent replies of all clients take much of their memory. */
    private long writeTimeoutMicros() {
        boolean scarce = !north.memory.hasRoom(Part.UNSENT_REPLIES, north.memory.limit(Part.UNSENT_REPLIES) / 2);
        return scarce ? SCARCE_WRITE_TIMEOUT_MICROS : WRITE_TIMEOUT_MICROS;
    }

    /** Returns whether no reply is pending and no input is unprocessed. */
    boolean isIdle() {
        return replies.isEmpty() && !input.hasPartialCommand() && !link.hasUnreadBytes();
    }

    /** Returns whether all replies have been sent and the output is closed. */
    boolean isOutputClosed() {
        return outputClosed;
    }

    /** Marks the connection as over the limit: its first request is rejected as busy, then it is closed. */
    void rejectFirstRequest() {
        overLimit = true;
    }

    /** Closes the output once all replies have been sent, unless input arrives before that. */
    void closeAfterReplies() {
        if (!closing) {
            closing = true;
            north.markBusy(this);
            progressMicros = north.time.now();
            link.shutdownOutput(inputStopped);
        }
    }

    /** Closes the output once all replies have been sent, whatever arrives; for shutdown. */
    void closeUnconditionally() {
        stopInput();
        closing = false;
        closeAfterReplies();
    }

    /** Closes the connection immediately and drops unsent replies. */
    void closeNow() {
        link.close();
    }

    /** Ignores further input. It is read all the same: earlier requests may be open, and a close must be noticed. */
    private void stopInput() {
        if (!inputStopped) {
            inputStopped = true;
            north.markBusy(this);
            link.discardInput();
        }
    }

    /** Sends a last reply and closes the connection behind it. */
    private void replyAndClose(byte[] reply) {
        stopInput();
        enqueueReply(reply);
    }

    @Override
    public void opened() {
        // The client sends first.
    }

    @Override
    public void outputShutDown() {
        outputClosed = true;
        inputStopped = true;
    }

    @Override
    public void received(byte[] bytes) {
        // Guards against dispatching requests that a client sent before it disconnected.
        if (inputStopped || link.isClosed()) {
            return;
        }
        closing = false; // the input preceded the closing of the output
        north.markBusy(this);
        north.markUsed(this);
        commandStartMicros = input.hasPartialCommand() ? commandStartMicros : north.time.now();
        earliestArrivalMicros = north.time.earliestArrivalMicros() - (commandReceived ? 0 : link.acceptWaitMicros());
        input.feed(bytes);
        processCommands();
    }

    private void processCommands() {
        try {
            while (!inputStopped && !writeBacklogFull()) {
                Resp command = input.next();
                if (command == null) {
                    break;
                }
                commandReceived = true;
                progressMicros = north.time.now();
                commandStartMicros = progressMicros;
                if (command instanceof Resp.SkippedCommand || replies.size() >= MAX_PENDING_REPLIES) {
                    north.counters.increment(Count.TURNED_AWAY);
                    rejectBusy();
                    continue;
                }
                execute(((Resp.Array) command)
                        .items().stream()
                                .map(argument -> ((Resp.BulkString) argument).bytes())
                                .toList());
            }
        } catch (RespException e) {
            north.counters.increment(Count.COMMANDS_BAD);
            replyAndClose(RespWriter.error("ERR Protocol error: " + e.getMessage()));
        }
        if (!inputStopped && writeBacklogFull() != readingPaused) {
            readingPaused = !readingPaused;
            link.setReading(!readingPaused);
        }
    }

    /**
     * Returns whether too many writes are unsent, so that a client that reads no replies can't exhaust the memory.
     * Unanswered commands don't count, since a disconnect goes unnoticed while reading is paused.
     */
    private boolean writeBacklogFull() {
        return replies.unsentWrites() >= MAX_UNSENT_WRITES;
    }

    private void execute(List<byte[]> arguments) {
        String name = new String(arguments.get(0), StandardCharsets.ISO_8859_1).toUpperCase(Locale.ROOT);
        switch (name) {
            case "OBJ.GET" -> handleRequest(arguments, GET_ARITY);
            case "OBJ.SET" -> handleRequest(arguments, SET_ARITY);
            default ->
                AuxiliaryCommands.reply(name, arguments, north.counterReport)
                        .ifPresentOrElse(this::reply, () -> rejectCommand(AuxiliaryCommands.unknown(name)));
        }
    }

    private void reply(byte[] reply) {
        north.counters.increment(Count.COMMANDS_OTHER);
        enqueueReply(reply);
    }

    private void rejectCommand(String reason) {
        north.counters.increment(Count.COMMANDS_BAD);
        enqueueReply(RespWriter.error("ERR " + reason));
    }

    private void handleRequest(List<byte[]> arguments, int arity) {
        if (arguments.size() != arity) {
            rejectCommand("wrong number of arguments");
            return;
        }
        ClientRequest request;
        try {
            byte[] value = arity == SET_ARITY ? arguments.get(4) : null;
            request = RequestParser.parse(
                    arguments.get(1),
                    arguments.get(2),
                    arguments.get(3),
                    value,
                    north.requestClasses,
                    earliestArrivalMicros);
        } catch (RequestParser.InvalidRequestException e) {
            rejectCommand(e.getMessage());
            return;
        }
        if (north.isIdInUse(request.id())) {
            rejectCommand("id is in use"); // one of the two requests would get the other's reply
            return;
        }
        overLimit = overLimit && !north.makeRoom();
        if (overLimit || north.overCapacity(request)) {
            rejectBusy();
            return;
        }
        PendingReply pending = north.register(this, request);
        replies.add(pending);
        north.dispatch(pending, request);
    }

    private void rejectBusy() {
        if (replies.addBusy(this)) {
            flush();
        }
    }

    private void enqueueReply(byte[] reply) {
        replies.add(this, reply);
        flush();
    }

    void complete(PendingReply pending, Answer answer) {
        replies.complete(pending, answer);
        flush();
    }

    private void flush() {
        while (replies.isReady()) {
            progressMicros = replies.unsentWrites() == 0 && !inputStopped ? north.time.now() : progressMicros;
            replies.writeNext();
        }
        if (replies.isEmpty() && (inputStopped || (overLimit || north.isDraining()) && isIdle())) {
            closeAfterReplies();
        } else {
            resumeReading();
        }
    }

    @Override
    public void written() {
        replies.sent();
        progressMicros = inputStopped ? progressMicros : north.time.now();
        if (replies.unsentWrites() == 0 && replies.isEmpty() && commandReceived && !inputStopped && !closing) {
            north.markIdle(this);
        }
        if (replies.isEmpty()) {
            resumeReading();
        } else {
            flush(); // replies held back until earlier ones were sent
        }
    }

    private void resumeReading() {
        if (readingPaused && !inputStopped && replies.unsentWrites() < MAX_UNSENT_WRITES / 2) {
            processCommands();
        }
    }

    @Override
    public void closed() {
        if (!disconnected) {
            disconnected = true;
            abandonPending();
        }
    }

    /** Drops the pending replies and reports the disconnect. */
    private void abandonPending() {
        inputStopped = true;
        input.release();
        north.clientDisconnected(this, replies.clear());
    }
}
