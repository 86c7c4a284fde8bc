package baymoor.tier.message;

import java.util.List;

/**
 * What the holder of a group's lease tells the group's children of everything outside of the group.
 *
 * @param nextPart the group's part of the movable allowance in the first epoch that the message is about
 * @param laterPart the same in the epoch after that
 * @param rate the allowance that the whole tier goes by, fetches a second; 0 where none is known
 * @param outside totals of all balancers outside of the group
 * @param speakers the balancers that speak for the group's siblings, {@link #UNKNOWN} where none is known
 * @param loads what the balancers outside have out at routers
 */
public record Digest(
        double nextPart, double laterPart, double rate, Totals outside, List<Integer> speakers, LoadReport loads) {

    /** In place of a balancer's number. */
    public static final int UNKNOWN = 0xffff;

    public Digest {
        speakers = List.copyOf(speakers);
    }

    /** The same without loads. */
    Digest withoutLoads() {
        return new Digest(nextPart, laterPart, rate, outside, speakers, LoadReport.NONE);
    }
}
