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

/** The reply loop: reads rounds of events, hands each to its instance, writes the actions. It decides nothing. */
final class Host {

    private static final int MALFORMED = 2;
    private static final int PAGES = 16;
    private static final int MOST_INSTANCES = 1 << 20;
    private static final int BUFFER = 1 << 16;

    private final InputStream in;
    private final OutputStream out;
    private final PrintStream errors;
    private final ProtocolLine line = new ProtocolLine();
    private final StringInterner interner = new StringInterner();
    private final Reply reply = new Reply();
    private final List<List<Server>> pages = new ArrayList<>(Collections.nCopies(PAGES, null));
    private Decisions[] instances = new Decisions[64];
    private byte[] buffer = new byte[BUFFER];
    private int filled;
    private int at;
    private long lines;
    private boolean inRound;
    private long now;
    private int page;
    private int entriesLeft;
    private List<Server> entries;

    Host(InputStream in, OutputStream out, PrintStream errors) {
        this.in = in;
        this.out = out;
        this.errors = errors;
    }

    /** Runs to the end of input and gives the exit status. */
    int run() throws IOException {
        try {
            while (next()) {
                take();
            }
            if (inRound) {
                throw new MalformedLineException("FLUSH", "missing at the end of input");
            }
            return 0;
        } catch (MalformedLineException e) {
            errors.println("line " + lines + ": " + e.getMessage());
            return MALFORMED;
        }
    }

    /** Sets the line object to the next line; false at the end of input. */
    private boolean next() throws IOException {
        int scan = at;
        while (true) {
            while (scan < filled && buffer[scan] != '\n') {
                scan++;
            }
            if (scan < filled) {
                lines++;
                line.reset(buffer, at, scan > at && buffer[scan - 1] == '\r' ? scan - 1 : scan);
                at = scan + 1;
                return true;
            }
            if (at > 0) {
                System.arraycopy(buffer, at, buffer, 0, filled - at);
                filled -= at;
                scan -= at;
                at = 0;
            }
            if (filled == buffer.length) {
                buffer = Arrays.copyOf(buffer, 2 * filled);
            }
            int read = in.read(buffer, filled, buffer.length - filled);
            if (read < 0) {
                if (filled > 0) {
                    lines++;
                    line.reset(buffer, 0, filled);
                    throw new MalformedLineException(line.messageType(), "cut off by the end of input");
                }
                return false;
            }
            filled += read;
        }
    }

    private void take() throws IOException {
        if (!inRound) {
            if (!line.hasType("ROUND")) {
                throw new MalformedLineException(line.messageType(), "outside a round");
            }
            now = line.getLong("at_time");
            inRound = true;
        } else if (entriesLeft > 0) {
            entry();
        } else if (line.hasType("FLUSH")) {
            inRound = false;
            reply.finish(out);
        } else if (line.hasType("CLOSED_ATTEMPT")) {
            decide(new AttemptEnded(
                    line.getString("txn"),
                    line.getBoundedInt("copy", Integer.MAX_VALUE),
                    line.getLong("host"),
                    outcome(),
                    line.getLong("latency", 0),
                    line.getBoolean("terminal"),
                    (int) line.getLong("info", 0),
                    line.getDoubles("gauge")));
        } else if (line.hasType("INBOUND")) {
            decide(new Request(
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
            decide(new PeerMessage(line.getBoundedInt("from", Integer.MAX_VALUE), line.getBase64("content")));
        } else if (line.hasType("WAKEUP")) {
            decide(new TimerFired(line.getLong("key_back")));
        } else if (line.hasType("OPENED")) {
            decide(new AnswerBegan(
                    line.getString("txn"),
                    line.getLong("host"),
                    line.getLong("latency", 0),
                    line.getBoundedInt("copy", Integer.MAX_VALUE)));
        } else if (line.hasType("CANCELLED_BY_CLIENT")) {
            decide(new RequestGone(line.getString("txn")));
        } else if (line.hasType("SAMPLED")) {
            decide(new Probed(line.getLong("host"), outcome(), line.getLong("latency", 0), line.getDoubles("gauge")));
        } else if (line.hasType("PAGE")) {
            page();
        } else if (line.hasType("SYNC")) {
            decide(new ServerList(listKind(), line.getLong("revision", 0), servers()));
        } else if (line.hasType("ATTACH")) {
            attach();
        } else if (line.hasType("POWER_OFF")) {
            int instance = line.getBoundedInt("balancer", MOST_INSTANCES);
            if (instance < instances.length) {
                instances[instance] = null;
            }
        } else {
            throw new MalformedLineException(line.messageType(), "unknown message");
        }
    }

    private void attach() {
        int instance = line.getBoundedInt("balancer", MOST_INSTANCES);
        if (instance >= instances.length) {
            instances = Arrays.copyOf(instances, Math.max(2 * instances.length, instance + 1));
        }
        reply.open(instance);
        try {
            instances[instance] = Decisions.start(new Conf(line).settings());
        } catch (MalformedLineException e) {
            throw e;
        } catch (RuntimeException e) {
            failed(instance, e);
        }
    }

    /** An event for an instance that does not run, or runs no longer, is nobody's. */
    private void decide(Event event) {
        int instance = line.getBoundedInt("balancer", MOST_INSTANCES);
        Decisions decisions = instance < instances.length ? instances[instance] : null;
        if (decisions == null) {
            return;
        }
        reply.open(instance);
        try {
            decisions.decide(now, event, reply);
        } catch (RuntimeException e) {
            failed(instance, e);
        }
    }

    private void failed(int instance, RuntimeException e) {
        e.printStackTrace(errors);
        instances[instance] = null;
        reply.bailOut(e.toString());
    }

    private void page() {
        page = line.getBoundedInt("page", PAGES - 1);
        entriesLeft = line.getBoundedInt("rows", Integer.MAX_VALUE);
        entries = new ArrayList<>();
        pages.set(page, entries);
    }

    private void entry() {
        if (!line.hasType("ENTRY")) {
            throw new MalformedLineException(line.messageType(), "where an ENTRY is due");
        }
        entries.add(new Server(
                line.getLong("host"),
                line.getDouble("size", 1),
                line.getRequiredInterned("shape", interner),
                state(),
                line.getInterned("rack_zone", interner),
                line.getLong("boot_time", 0),
                (int) line.getLong("block", 0)));
        entriesLeft--;
    }

    private List<Server> servers() {
        if (listKind() == ListKind.FAILED) {
            return List.of();
        }
        List<Server> servers = pages.get(line.getBoundedInt("page", PAGES - 1));
        if (servers == null) {
            throw new MalformedLineException(line.messageType(), "page");
        }
        return servers;
    }

    private State state() {
        return switch (line.getRequiredInterned("stage_state", interner)) {
            case "live" -> State.RUNNING;
            case "quiescing" -> State.DRAINING;
            case "dead" -> State.GONE;
            default -> throw new MalformedLineException(line.messageType(), "stage_state");
        };
    }

    private ListKind listKind() {
        return switch (line.getRequiredInterned("kind", interner)) {
            case "delta" -> ListKind.CHANGES;
            case "full" -> ListKind.WHOLE;
            case "cached" -> ListKind.LAST_KNOWN;
            case "failed" -> ListKind.FAILED;
            default -> throw new MalformedLineException(line.messageType(), "kind");
        };
    }

    private Outcome outcome() {
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
