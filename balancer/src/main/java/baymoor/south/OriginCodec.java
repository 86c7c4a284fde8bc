package baymoor.south;

import baymoor.http.HttpException;
import baymoor.http.RequestWriter;
import baymoor.http.ResponseReader;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import merlinstep.Decisions.Outcome;

/** Codec of HTTP/1.1 for the origin. */
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
    public List<byte[]> request(RequestContent content, long waitMillis) {
        // In insertion order, so that the bytes sent are reproducible; the order of Map.of varies between JVMs.
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Correlation-Id", content.id());
        headers.put("X-Facts", content.encodeFacts(waitMillis));
        String target = "/" + RequestWriter.encodePathSegment(content.key());
        byte[] value = content.value();
        if (value == null || value.length <= MAX_COPIED_VALUE_BYTES) {
            return List.of(RequestWriter.request(value == null ? "GET" : "PUT", target, host, headers, value));
        }
        return List.of(RequestWriter.head("PUT", target, host, headers, value), value);
    }

    @Override
    public byte[] probe() {
        return RequestWriter.request("GET", reportFields.isEmpty() ? "/healthz" : "/load", host, Map.of(), null);
    }

    @Override
    public Reply feed(byte[] bytes) {
        try {
            int consumed = reader.feed(bytes);
            return reader.isComplete() ? reply(consumed == bytes.length, reader.hasDelimitedBody()) : null;
        } catch (HttpException e) {
            return Reply.withoutAnswer(Outcome.ERROR);
        }
    }

    @Override
    public int requiredBytes() {
        return reader.requiredBodyBytes();
    }

    @Override
    public void reserveBuffer() {
        reader.reserveBody();
    }

    @Override
    public Reply end(boolean inOrder) {
        reader.endOfInput();
        return reader.isComplete() ? reply(false, inOrder) : null;
    }

    /**
     * Converts the response that has been read.
     *
     * @param whole whether the value is known to be whole: its length was given, or the origin ended the connection behind it
     */
    private Reply reply(boolean fullyConsumed, boolean whole) {
        ResponseReader response = reader;
        reader = new ResponseReader(MAX_BODY_BYTES);
        boolean unprocessed = "1".equals(response.header("x-unprocessed"))
                && (response.status() == SERVICE_UNAVAILABLE || response.status() == GATEWAY_TIMEOUT);
        // Without that header the origin may have run the request, as with a 500.
        Outcome outcome =
                response.status() == OK && whole ? Outcome.SERVED : unprocessed ? Outcome.FULL : Outcome.ERROR;
        byte[] value = response.takeBody();
        return new Reply(
                outcome,
                outcome == Outcome.SERVED ? value : null,
                0,
                LoadReport.parse(response.header("x-backend-load"), reportFields),
                fullyConsumed && response.reusable());
    }
}
