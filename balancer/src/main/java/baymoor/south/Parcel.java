package baymoor.south;

import java.util.Map;

/** What a relay carries: key, id, facts in their order, and the value of a write, or null for a read. */
public record Parcel(String key, String id, Map<String, String> facts, byte[] value) { }
