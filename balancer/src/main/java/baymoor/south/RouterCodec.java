package baymoor.south;

import baymoor.resp.Resp;
import baymoor.resp.RespException;
import baymoor.resp.RespReader;
import baymoor.resp.RespWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import merlinstep.Decisions.Outcome;

/**
 * Codec of RESP2 for a router. An answer must have the exact shape of the protocol, as answers may be corrupted on the way,
 * to a simple string or a shorter array for example; anything else is an ERROR.
 */
final class RouterCodec implements Codec {

    private final RespReader reader = RespReader.ofReplies();
    private static final double[] NO_REPORT = new double[0];
    private static final int ANSWER_ITEM_COUNT = 3;
    private static final Pattern BUSY_ERROR = Pattern.compile("BUSY( [0-9]{1,9})?");
    private static final Pattern KNOWN_ERROR = Pattern.compile("BUSY( [0-9]{1,9})?|(ERR|SYNTAX|NOPERM)( [ -~]*)?");

    private final List<String> reportFields;
    private boolean probing;

    RouterCodec(List<String> reportFields) {
        this.reportFields = reportFields;
    }

    @Override
    public List<byte[]> request(RequestContent content, long waitMillis) {
        probing = false;
        byte[] key = RespWriter.utf8(content.key());
        byte[] id = RespWriter.utf8(content.id());
        byte[] facts = RespWriter.utf8(content.encodeFacts(waitMillis));
        byte[] value = content.value();
        if (value == null) {
            return List.of(RespWriter.command(RespWriter.utf8("OBJ.GET"), key, id, facts));
        }
        byte[] name = RespWriter.utf8("OBJ.SET");
        return value.length <= MAX_COPIED_VALUE_BYTES
                ? List.of(RespWriter.command(name, key, id, facts, value))
                : RespWriter.commandParts(value, name, key, id, facts);
    }

    @Override
    public byte[] probe() {
        probing = true;
        return reportFields.isEmpty()
                ? RespWriter.command(RespWriter.utf8("PING"))
                : RespWriter.command(RespWriter.utf8("INFO"), RespWriter.utf8("load"));
    }

    @Override
    public Reply feed(byte[] bytes) {
        reader.feed(bytes);
        try {
            Resp answer = reader.next();
            return answer == null ? null : toReply(answer, !reader.hasPartialInput());
        } catch (RespException e) {
            return Reply.withoutAnswer(Outcome.ERROR);
        }
    }

    private Reply toReply(Resp answer, boolean fullyConsumed) {
        if (answer instanceof Resp.ErrorReply failure) {
            boolean busy = BUSY_ERROR.matcher(failure.text()).matches();
            boolean known = KNOWN_ERROR.matcher(failure.text()).matches();
            return new Reply(busy ? Outcome.FULL : Outcome.ERROR, null, 0, NO_REPORT, fullyConsumed && known);
        }
        Reply reply = probing ? probeReply(answer, fullyConsumed) : attemptReply(answer, fullyConsumed);
        return reply == null ? Reply.withoutAnswer(Outcome.ERROR) : reply;
    }

    /** Decodes a value or receipt, the cache status and a load report; null if the answer has any other shape. */
    private Reply attemptReply(Resp answer, boolean fullyConsumed) {
        if (!(answer instanceof Resp.Array many)
                || many.items() == null
                || many.items().size() != ANSWER_ITEM_COUNT
                || !(many.items().get(0) instanceof Resp.BulkString value)
                || !(many.items().get(1) instanceof Resp.BulkString cacheStatus)) {
            return null;
        }
        int note = cacheStatus.bytes() == null
                ? 0
                : switch (text(cacheStatus)) {
                    case "hit" -> 1;
                    case "miss" -> 2;
                    case "pending" -> 3;
                    default -> 0;
                };
        // A malformed load report does not invalidate the value that came with it.
        double[] report = many.items().get(2) instanceof Resp.BulkString bulk
                ? LoadReport.parse(text(bulk), reportFields)
                : NO_REPORT;
        return new Reply(
                value.bytes() == null ? Outcome.MISS : Outcome.SERVED, value.bytes(), note, report, fullyConsumed);
    }

    /** Decodes a load report or the answer to a ping; null if the answer has any other shape. */
    private Reply probeReply(Resp answer, boolean fullyConsumed) {
        if (answer instanceof Resp.BulkString bulk && bulk.bytes() != null && !reportFields.isEmpty()) {
            return new Reply(Outcome.SERVED, null, 0, LoadReport.parse(text(bulk), reportFields), fullyConsumed);
        }
        boolean alive =
                answer instanceof Resp.SimpleString simple && simple.text().equals("PONG");
        return alive ? new Reply(Outcome.SERVED, null, 0, NO_REPORT, fullyConsumed) : null;
    }

    private static String text(Resp.BulkString bulk) {
        return bulk.bytes() == null ? null : new String(bulk.bytes(), StandardCharsets.UTF_8);
    }

    @Override
    public int requiredBytes() {
        return reader.requiredBytes();
    }

    @Override
    public void reserveBuffer() {
        reader.fitBuffer();
    }

    @Override
    public Reply end(boolean inOrder) {
        return null;
    }
}
