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

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final String host;
    private final List<String> reportFields;
    private ResponseReader reader = new ResponseReader(MAX_BODY_BYTES);

    OriginCodec(String host, List<String> reportFields) {
        this.host = host;
        this.reportFields = reportFields;
    }

    @Override
    public byte[] request(RequestContent content, long waitMillis) {
        // A fixed order: that of Map.of differs from one JVM to the next, and the bytes sent should not.
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Correlation-Id", content.id());
        headers.put("X-Facts", content.encodeFacts(waitMillis));
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
            int consumed = reader.feed(bytes);
            return reader.whole() ? reply(consumed == bytes.length) : null;
        } catch (HttpException e) {
            return Reply.withoutAnswer(Outcome.ERROR);
        }
    }

    @Override
    public Reply end() {
        reader.end();
        return reader.whole() ? reply(false) : null;
    }

    private Reply reply(boolean fullyConsumed) {
        ResponseReader response = reader;
        reader = new ResponseReader(MAX_BODY_BYTES);
        boolean unprocessed = "1".equals(response.header("x-unprocessed"))
                && (response.status() == SERVICE_UNAVAILABLE || response.status() == GATEWAY_TIMEOUT);
        // Without that header a 503 may have run, like a 500.
        // A 200 without a stated length can't be distinguished from one that was cut short.
        Outcome outcome = response.status() == OK && response.sized()
                ? Outcome.SERVED
                : unprocessed ? Outcome.FULL : Outcome.ERROR;
        byte[] value = response.takeBody();
        return new Reply(
                outcome,
                outcome == Outcome.SERVED ? value : null,
                0,
                LoadReport.parse(response.header("x-backend-load"), reportFields),
                fullyConsumed && response.reusable());
    }
}
