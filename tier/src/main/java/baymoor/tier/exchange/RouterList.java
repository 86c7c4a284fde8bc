package baymoor.tier.exchange;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** An immutable list of routers, sorted by a hash of their ids so that the order is the same at all balancers. */
public final class RouterList {

    /** The empty list. */
    public static final RouterList EMPTY = new RouterList(new long[0]);

    private static final int TAG_MASK = 0xffff;

    private final int[] tags;
    private final Map<Integer, Integer> indexOfTag = new HashMap<>();
    private final int fingerprint;

    /** Creates the list of the routers with the given ids. */
    public RouterList(long[] ids) {
        tags = Arrays.stream(ids).mapToInt(RouterList::tag).sorted().distinct().toArray();
        for (int index = 0; index < tags.length; index++) {
            indexOfTag.put(tags[index], index);
        }
        int hash = Arrays.hashCode(tags);
        fingerprint = (hash ^ hash >>> Short.SIZE) & TAG_MASK;
    }

    /** Returns a 16-bit hash of an id. Routers with equal tags are treated as one, which is rare among a few hundred. */
    public static int tag(long id) {
        long x = id;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return (int) ((x ^ (x >>> 31)) & TAG_MASK);
    }

    /** Returns the number of distinct tags. */
    public int size() {
        return tags.length;
    }

    /** Returns the index of the router with the given tag, or -1. */
    public int indexOf(int tag) {
        return indexOfTag.getOrDefault(tag, -1);
    }

    int tagAt(int index) {
        return tags[index];
    }

    int fingerprint() {
        return fingerprint;
    }
}
