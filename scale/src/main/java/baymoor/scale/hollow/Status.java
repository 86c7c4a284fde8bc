package baymoor.scale.hollow;

/**
 * How far some balancers have come, told several times a second.
 *
 * @param orders   carried out before this was looked at
 * @param running  that run
 * @param listed   that run and were told a list by discovery
 * @param heardAll that run and have heard every other balancer
 * @param fresh    that run and have heard every other one that runs within the last seconds
 * @param version  the lowest version of the list that one of them holds
 * @param fetches  that were sent to the origin so far
 */
public record Status(int orders, int running, int listed, int heardAll, int fresh, long version, long fetches) {

    /** Of nobody. */
    public static final Status NONE = new Status(0, 0, 0, 0, 0, Long.MAX_VALUE, 0);

    /** Of these balancers and others together. */
    public Status plus(Status other) {
        return new Status(
                Math.max(orders, other.orders),
                running + other.running,
                listed + other.listed,
                heardAll + other.heardAll,
                fresh + other.fresh,
                Math.min(version, other.version),
                fetches + other.fetches);
    }

    /** The same after so many orders. */
    Status after(int count) {
        return new Status(count, running, listed, heardAll, fresh, version, fetches);
    }
}
