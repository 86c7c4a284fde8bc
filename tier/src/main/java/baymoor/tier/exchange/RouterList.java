package baymoor.tier.exchange;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Routers in an order that is the same at all balancers with the same list: by a hash of their ids. */
public final class RouterList {

    /** Of no routers. */
    public static final RouterList EMPTY = new RouterList(new long[0]);

    private static final int TAG_MASK = 0xffff;

    private final int[] tags;
    private final Map<Integer, Integer> indexOfTag = new HashMap<>();
    private final int fingerprint;

    /** The list of these ids. */
    public RouterList(long[] ids) {
        tags = Arrays.stream(ids).mapToInt(RouterList::tag).sorted().distinct().toArray();
        for (int index = 0; index < tags.length; index++) {
            indexOfTag.put(tags[index], index);
        }
        int hash = Arrays.hashCode(tags);
        fingerprint = (hash ^ hash >>> Short.SIZE) & TAG_MASK;
    }

    /** Two bytes of an id's hash. Two routers with the same are taken for one, which is rare among some hundred. */
    public static int tag(long id) {
        long x = id;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return (int) ((x ^ (x >>> 31)) & TAG_MASK);
    }

    /** The number of routers. */
    public int size() {
        return tags.length;
    }

    /** The index of a router by its tag, or -1. */
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
