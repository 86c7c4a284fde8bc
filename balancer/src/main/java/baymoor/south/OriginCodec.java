package baymoor.south;

import baymoor.http.HttpException;
import baymoor.http.RequestWriter;
import baymoor.http.ResponseReader;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinstep.Decisions.Outcome;

/** Speaks HTTP/1.1 with the origin. */
final class OriginCodec implements Codec {

    private static final int LONGEST_BODY = 64 * 1024;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_LATE = 504;

    private final String host;
    private final List<String> reportFields;
    private ResponseReader reader = new ResponseReader(LONGEST_BODY);

    OriginCodec(String host, List<String> reportFields) {
        this.host = host;
        this.reportFields = reportFields;
    }

    @Override
    public byte[] request(RequestContent content, long waitMillis) {
        // A fixed order: that of Map.of differs from one JVM to the next, and the bytes sent should not.
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Correlation-Id", content.id());
        headers.put("X-Facts", content.factsOnWire(waitMillis));
        String target = "/" + RequestWriter.segment(content.key());
        return RequestWriter.request(content.value() == null ? "GET" : "PUT", target, host, headers, content.value());
    }

    @Override
    public byte[] probe() {
        return RequestWriter.request("GET", reportFields.isEmpty() ? "/healthz" : "/load", host, Map.of(), null);
    }

    @Override
    public Reply feed(byte[] bytes) {
        try {
            int used = reader.feed(bytes);
            return reader.whole() ? reply(used == bytes.length) : null;
        } catch (HttpException e) {
            return Reply.without(Outcome.ERROR);
        }
    }

    @Override
    public Reply end() {
        reader.end();
        return reader.whole() ? reply(false) : null;
    }

    private Reply reply(boolean clean) {
        ResponseReader answer = reader;
        reader = new ResponseReader(LONGEST_BODY);
        boolean untouched = "1".equals(answer.header("x-unprocessed"))
                && (answer.status() == UNAVAILABLE || answer.status() == TOO_LATE);
        // Without that header a 503 may have run, like a 500.
        // A 200 without a stated length can't be distinguished from one that was cut short.
        Outcome outcome =
                answer.status() == OK && answer.sized() ? Outcome.SERVED : untouched ? Outcome.FULL : Outcome.ERROR;
        byte[] value = answer.takeBody();
        return new Reply(
                outcome,
                outcome == Outcome.SERVED ? value : null,
                0,
                LoadReport.parse(answer.header("x-backend-load"), reportFields),
                clean && answer.reusable());
    }
}
