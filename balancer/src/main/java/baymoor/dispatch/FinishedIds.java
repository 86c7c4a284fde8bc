package baymoor.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Ids of finished requests that may have run and must not run again. A client whose connection has ended may send its request once
 * more under the same id, though every request should have a new one. The oldest are forgotten after a time, or when there are
 * too many.
 */
final class FinishedIds {

    /** Longer than any deadline that clients of a site use, so that whoever still waits for the request is covered. */
    static final long RETENTION_MICROS = 60_000_000;

    static final int MAX_IDS = 4096;

    /** When each request was finished, the oldest first. */
    private final Map<String, Long> finishedMicros = new LinkedHashMap<>();

    void add(String id, long nowMicros) {
        forgetOld(nowMicros);
        finishedMicros.remove(id);
        finishedMicros.put(id, nowMicros);
    }

    boolean contains(String id, long nowMicros) {
        Long atMicros = finishedMicros.get(id);
        return atMicros != null && nowMicros - atMicros <= RETENTION_MICROS;
    }

    private void forgetOld(long nowMicros) {
        Iterator<Long> oldest = finishedMicros.values().iterator();
        while (oldest.hasNext()) {
            boolean tooMany = finishedMicros.size() >= MAX_IDS;
            if (nowMicros - oldest.next() <= RETENTION_MICROS && !tooMany) {
                return;
            }
            oldest.remove();
        }
    }
}
