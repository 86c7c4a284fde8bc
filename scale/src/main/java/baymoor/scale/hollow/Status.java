package baymoor.scale.hollow;

/**
 * How far the balancers of one process have come, told several times a second.
 *
 * @param running  that run
 * @param listed   that run and were told a list by discovery
 * @param heardAll that run and have heard every other balancer
 * @param version  the lowest version of the list that one of them holds
 * @param fetches  that were sent to the origin so far
 */
public record Status(int running, int listed, int heardAll, long version, long fetches) {}
