package merlinstep.simhost;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import merlinstep.Decisions;
import merlinstep.Decisions.AnswerBegan;
import merlinstep.Decisions.AttemptEnded;
import merlinstep.Decisions.Event;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.PeerMessage;
import merlinstep.Decisions.Probed;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestGone;
import merlinstep.Decisions.Server;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.State;
import merlinstep.Decisions.TimerFired;

/**
 * Runs decision instances for the simulator over a line protocol: reads a round of messages from the input, delivers
 * each event to the instance it addresses and writes the resulting actions when the round ends.
 *
 * <p>Malformed input ends the run; an exception in one instance stops only that instance. Not thread-safe.
 */
final class Host {

    private static final int EXIT_MALFORMED_INPUT = 2;
    private static final int MAX_PAGES = 16;
    private static final int MAX_INSTANCE_ID = 1 << 20;
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private final InputStream in;
    private final OutputStream out;
    private final PrintStream errors;
    private final ProtocolLine line = new ProtocolLine();
    private final StringInterner interner = new StringInterner();
    private final Reply reply = new Reply();
    private final List<List<Server>> pages = new ArrayList<>(Collections.nCopies(MAX_PAGES, null));
    private Decisions[] instances = new Decisions[64];
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferLimit;
    private int position;
    private long lineNumber;
    private boolean inRound;
    private long nowMicros;
    private int pageIndex;
    private int remainingEntries;
    private List<Server> pageEntries;

    Host(InputStream in, OutputStream out, PrintStream errors) {
        this.in = in;
        this.out = out;
        this.errors = errors;
    }

    /**
     * Processes rounds until the end of input.
     *
     * @return the exit status: 0, or 2 if the input was malformed
     * @throws IOException if reading the input or writing the output fails
     */
    int run() throws IOException {
        try {
            while (readLine()) {
                handleLine();
            }
            if (inRound) {
                throw new MalformedLineException("FLUSH", "missing at the end of input");
            }
            return 0;
        } catch (MalformedLineException e) {
            errors.println("line " + lineNumber + ": " + e.getMessage());
            return EXIT_MALFORMED_INPUT;
        }
    }

    /**
     * Reads the next line into {@link #line}, without its line terminator.
     *
     * @return false at the end of input
     */
    private boolean readLine() throws IOException {
        int scan = position;
        while (true) {
            while (scan < bufferLimit && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < bufferLimit) {
                lineNumber++;
                line.reset(buffer, position, scan > position && buffer[scan - 1] == '\r' ? scan - 1 : scan);
                position = scan + 1;
                return true;
            }
            if (position > 0) {
                System.arraycopy(buffer, position, buffer, 0, bufferLimit - position);
                bufferLimit -= position;
                scan -= position;
                position = 0;
            }
            if (bufferLimit == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * bufferLimit);
            }
            int read = in.read(buffer, bufferLimit, buffer.length - bufferLimit);
            if (read < 0) {
                if (bufferLimit > 0) {
                    lineNumber++;
                    line.reset(buffer, 0, bufferLimit);
                    throw new MalformedLineException(line.messageType(), "truncated by the end of input");
                }
                return false;
            }
            bufferLimit += read;
        }
    }

    private void handleLine() throws IOException {
        if (!inRound) {
            if (!line.hasType("ROUND")) {
                throw new MalformedLineException(line.messageType(), "expected ROUND");
            }
            nowMicros = line.getLong("at_time");
            inRound = true;
        } else if (remainingEntries > 0) {
            addPageEntry();
        } else if (line.hasType("FLUSH")) {
            inRound = false;
            reply.writeRound(out);
        } else if (line.hasType("CLOSED_ATTEMPT")) {
            deliver(new AttemptEnded(
                    line.getString("txn"),
                    line.getBoundedInt("copy", Integer.MAX_VALUE),
                    line.getLong("host"),
                    parseOutcome(),
                    line.getLong("latency", 0),
                    line.getBoolean("terminal"),
                    (int) line.getLong("info", 0),
                    line.getDoubles("gauge")));
        } else if (line.hasType("INBOUND")) {
            deliver(new Request(
                    line.getString("txn"),
                    line.getRequiredInterned("grade", interner),
                    line.getInterned("project", interner),
                    line.hasField("route_key"),
                    line.getHex("route_key"),
                    line.getLong("deadline"),
                    line.getLong("estimate", 0),
                    line.getDouble("size", 0),
                    line.getBoolean("retry"),
                    line.getBoolean("is_write")));
        } else if (line.hasType("MAIL")) {
            deliver(new PeerMessage(line.getBoundedInt("from", Integer.MAX_VALUE), line.getBase64("content")));
        } else if (line.hasType("WAKEUP")) {
            deliver(new TimerFired(line.getLong("key_back")));
        } else if (line.hasType("OPENED")) {
            deliver(new AnswerBegan(
                    line.getString("txn"),
                    line.getLong("host"),
                    line.getLong("latency", 0),
                    line.getBoundedInt("copy", Integer.MAX_VALUE)));
        } else if (line.hasType("CANCELLED_BY_CLIENT")) {
            deliver(new RequestGone(line.getString("txn")));
        } else if (line.hasType("SAMPLED")) {
            deliver(new Probed(
                    line.getLong("host"), parseOutcome(), line.getLong("latency", 0), line.getDoubles("gauge")));
        } else if (line.hasType("PAGE")) {
            startPage();
        } else if (line.hasType("SYNC")) {
            deliver(new ServerList(parseListKind(), line.getLong("revision", 0), listedServers()));
        } else if (line.hasType("ATTACH")) {
            startInstance();
        } else if (line.hasType("POWER_OFF")) {
            int id = line.getBoundedInt("balancer", MAX_INSTANCE_ID);
            if (id < instances.length) {
                instances[id] = null;
            }
        } else {
            throw new MalformedLineException(line.messageType(), "unknown message type");
        }
    }

    private void startInstance() {
        int id = line.getBoundedInt("balancer", MAX_INSTANCE_ID);
        if (id >= instances.length) {
            instances = Arrays.copyOf(instances, Math.max(2 * instances.length, id + 1));
        }
        reply.selectInstance(id);
        try {
            instances[id] = Decisions.start(new SettingsParser(line).parse());
        } catch (MalformedLineException e) {
            throw e;
        } catch (RuntimeException e) {
            stopFailed(id, e);
        }
    }

    /** Delivers an event to the instance that the line addresses; drops it if that instance is not running. */
    private void deliver(Event event) {
        int id = line.getBoundedInt("balancer", MAX_INSTANCE_ID);
        Decisions decisions = id < instances.length ? instances[id] : null;
        if (decisions == null) {
            return;
        }
        reply.selectInstance(id);
        try {
            decisions.decide(nowMicros, event, reply);
        } catch (RuntimeException e) {
            stopFailed(id, e);
        }
    }

    /** Stops an instance after an exception: logs the stack trace and reports the failure to the simulator. */
    private void stopFailed(int id, RuntimeException e) {
        e.printStackTrace(errors);
        instances[id] = null;
        reply.addInstanceFailure(e.toString());
    }

    private void startPage() {
        pageIndex = line.getBoundedInt("page", MAX_PAGES - 1);
        remainingEntries = line.getBoundedInt("rows", Integer.MAX_VALUE);
        pageEntries = new ArrayList<>();
        pages.set(pageIndex, pageEntries);
    }

    private void addPageEntry() {
        if (!line.hasType("ENTRY")) {
            throw new MalformedLineException(line.messageType(), "expected ENTRY");
        }
        pageEntries.add(new Server(
                line.getLong("host"),
                line.getDouble("size", 1),
                line.getRequiredInterned("shape", interner),
                parseServerState(),
                line.getInterned("rack_zone", interner),
                line.getLong("boot_time", 0),
                (int) line.getLong("block", 0)));
        remainingEntries--;
    }

    /** Returns the servers of the page that the line refers to; none for a failed list. */
    private List<Server> listedServers() {
        if (parseListKind() == ListKind.FAILED) {
            return List.of();
        }
        List<Server> servers = pages.get(line.getBoundedInt("page", MAX_PAGES - 1));
        if (servers == null) {
            throw new MalformedLineException(line.messageType(), "page");
        }
        return servers;
    }

    private State parseServerState() {
        return switch (line.getRequiredInterned("stage_state", interner)) {
            case "live" -> State.RUNNING;
            case "quiescing" -> State.DRAINING;
            case "dead" -> State.GONE;
            default -> throw new MalformedLineException(line.messageType(), "stage_state");
        };
    }

    private ListKind parseListKind() {
        return switch (line.getRequiredInterned("kind", interner)) {
            case "delta" -> ListKind.CHANGES;
            case "full" -> ListKind.WHOLE;
            case "cached" -> ListKind.LAST_KNOWN;
            case "failed" -> ListKind.FAILED;
            default -> throw new MalformedLineException(line.messageType(), "kind");
        };
    }

    private Outcome parseOutcome() {
        return switch (line.getRequiredInterned("how", interner)) {
            case "GOOD" -> Outcome.SERVED;
            case "BAD" -> Outcome.ERROR;
            case "FULL" -> Outcome.FULL;
            case "LATE" -> Outcome.TIMED_OUT;
            case "NOCONN" -> Outcome.NOT_CONNECTED;
            case "RST" -> Outcome.RESET;
            case "CXL" -> Outcome.CANCELLED;
            case "NOP" -> Outcome.NOT_SENT;
            case "MISS" -> Outcome.MISS;
            default -> throw new MalformedLineException(line.messageType(), "how");
        };
    }
}
