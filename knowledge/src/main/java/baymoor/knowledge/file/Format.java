package baymoor.knowledge.file;

import baymoor.knowledge.data.Knowledge;
import baymoor.knowledge.data.Knowledge.Host;
import baymoor.knowledge.data.Knowledge.Key;
import baymoor.knowledge.data.Knowledge.Origin;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Knowledge as bytes: 8 of magic, 4 of the format's version, 4 of the payload's length, 4 of CRC-32C over all that stands
 * before and behind it, then the payload in CBOR (RFC 8949), objects by their fields' names. Fields that a reader does not
 * know are passed over, and those it misses have the value of an unknown, so small changes need no new version; a new
 * version is for changes of meaning. Version 1 had no support, and rates by the minute.
 */
public final class Format {

    public static final int VERSION = 2;
    public static final int MOST_BYTES = 8 << 20;
    private static final byte[] MAGIC = {'b', 'a', 'y', 'm', 'o', 'o', 'r', 'K'};
    private static final int HEAD = MAGIC.length + 3 * Integer.BYTES;
    private static final int SUM_AT = MAGIC.length + 2 * Integer.BYTES;
    private static final double SUPPORT_OF_VERSION_1 = 4;
    private static final double MINUTE = 60;

    private static final CBORFactory CBOR = new CBORFactory();

    /** Bytes that are not knowledge; the message is one clear line. */
    public static final class Unreadable extends IOException {
        private static final long serialVersionUID = 1;

        Unreadable(String what) {
            super(what);
        }
    }

    private Format() {}

    /** The bytes of a file that holds this knowledge. */
    public static byte[] write(Knowledge k) {
        return frame(payload(k), VERSION);
    }

    static byte[] frame(byte[] payload, int version) {
        ByteBuffer bytes = ByteBuffer.allocate(HEAD + payload.length)
                .put(MAGIC)
                .putInt(version)
                .putInt(payload.length)
                .putInt(0)
                .put(payload);
        bytes.putInt(SUM_AT, sum(bytes.array()));
        return bytes.array();
    }

    private static int sum(byte[] all) {
        CRC32C sum = new CRC32C();
        sum.update(all, 0, SUM_AT);
        sum.update(all, HEAD, all.length - HEAD);
        return (int) sum.getValue();
    }

    /** Reads any version up to the present one. */
    public static Knowledge read(byte[] all) throws Unreadable {
        if (all.length < HEAD || !Arrays.equals(all, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new Unreadable("not a file of knowledge");
        }
        ByteBuffer head = ByteBuffer.wrap(all, MAGIC.length, HEAD - MAGIC.length);
        int version = head.getInt();
        int length = head.getInt();
        if (length != all.length - HEAD || length > MOST_BYTES) {
            throw new Unreadable("cut off or too long: " + (all.length - HEAD) + " bytes of payload for " + length);
        }
        if (head.getInt() != sum(all)) {
            throw new Unreadable("damaged: its checksum does not fit");
        }
        if (version > VERSION || version < 1) {
            throw new Unreadable("of format version " + version + "; this program reads 1 to " + VERSION);
        }
        try (JsonParser parser = CBOR.createParser(all, HEAD, length)) {
            expect(parser.nextToken() == JsonToken.START_OBJECT);
            return knowledge(parser, version);
        } catch (Unreadable e) {
            throw e;
        } catch (IOException | IllegalArgumentException e) {
            throw new Unreadable("whole, but makes no sense: " + e.getMessage());
        }
    }

    private static void expect(boolean right) throws Unreadable {
        if (!right) {
            throw new Unreadable("whole, but not in the form of knowledge");
        }
    }

    private static byte[] payload(Knowledge k) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = CBOR.createGenerator(out)) {
            g.writeStartObject();
            g.writeStringField("instance", k.instance());
            g.writeNumberField("taken_at", k.takenAt());
            g.writeNumberField("up_for", k.upFor());
            g.writeArrayFieldStart("hosts");
            for (Host h : k.hosts()) {
                g.writeStartObject();
                g.writeNumberField("id", h.id());
                g.writeNumberField("since", h.since());
                g.writeNumberField("at", h.learnedAt());
                g.writeNumberField("support", h.support());
                g.writeNumberField("latency", h.latencyMicros());
                g.writeNumberField("limit", h.limit());
                g.writeNumberField("failing", h.failing());
                g.writeBooleanField("out", h.out());
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeArrayFieldStart("keys");
            for (Key key : k.keys()) {
                g.writeStartObject();
                g.writeNumberField("key", key.key());
                g.writeNumberField("at", key.learnedAt());
                g.writeNumberField("support", key.support());
                g.writeNumberField("rate", key.rate());
                g.writeEndObject();
            }
            g.writeEndArray();
            if (k.origin() != null) {
                g.writeObjectFieldStart("origin");
                g.writeNumberField("at", k.origin().learnedAt());
                g.writeNumberField("support", k.origin().support());
                g.writeNumberField("per_second", k.origin().perSecond());
                g.writeNumberField("quick", k.origin().quickMicros());
                g.writeEndObject();
            }
            g.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("bytes in memory can be written", e);
        }
        return out.toByteArray();
    }

    /** The fields of one flat object, as far as they are numbers or truths; the rest is passed over. */
    private static final class Fields {
        private final Map<String, Number> numbers = new HashMap<>();

        static Fields read(JsonParser p) throws IOException {
            expect(p.currentToken() == JsonToken.START_OBJECT);
            Fields f = new Fields();
            while (p.nextToken() == JsonToken.FIELD_NAME) {
                String name = p.currentName();
                JsonToken value = p.nextToken();
                if (value == JsonToken.VALUE_TRUE || value == JsonToken.VALUE_FALSE) {
                    f.numbers.put(name, value == JsonToken.VALUE_TRUE ? 1 : 0);
                } else if (value.isNumeric()) {
                    f.numbers.put(name, p.getNumberValue());
                } else {
                    p.skipChildren();
                }
            }
            expect(p.currentToken() == JsonToken.END_OBJECT);
            return f;
        }

        long whole(String name) {
            return numbers.getOrDefault(name, 0).longValue();
        }

        double real(String name, double absent) {
            return numbers.getOrDefault(name, absent).doubleValue();
        }
    }

    private static Knowledge knowledge(JsonParser p, int version) throws IOException {
        String instance = "";
        long takenAt = 0;
        long upFor = 0;
        List<Host> hosts = new ArrayList<>();
        List<Key> keys = new ArrayList<>();
        Origin origin = null;
        double support = version == 1 ? SUPPORT_OF_VERSION_1 : 0;
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            String name = p.currentName();
            p.nextToken();
            switch (name) {
                case "instance" -> instance = p.getText();
                case "taken_at" -> takenAt = p.getLongValue();
                case "up_for" -> upFor = p.getLongValue();
                case "hosts" -> {
                    while (p.nextToken() == JsonToken.START_OBJECT) {
                        Fields f = Fields.read(p);
                        hosts.add(new Host(
                                f.whole("id"),
                                f.whole("since"),
                                f.whole("at"),
                                f.real("support", support),
                                f.real("latency", 0),
                                f.real("limit", 0),
                                f.real("failing", 0),
                                f.whole("out") != 0));
                    }
                }
                case "keys" -> {
                    while (p.nextToken() == JsonToken.START_OBJECT) {
                        Fields f = Fields.read(p);
                        double rate = f.real("rate", 0) / (version == 1 ? MINUTE : 1);
                        keys.add(new Key(f.whole("key"), f.whole("at"), f.real("support", support), rate));
                    }
                }
                case "origin" -> {
                    Fields f = Fields.read(p);
                    origin = new Origin(
                            f.whole("at"), f.real("support", support), f.real("per_second", 0), f.real("quick", 0));
                }
                default -> p.skipChildren();
            }
        }
        expect(p.currentToken() == JsonToken.END_OBJECT && p.nextToken() == null);
        return new Knowledge(instance, takenAt, upFor, hosts, keys, origin);
    }
}
