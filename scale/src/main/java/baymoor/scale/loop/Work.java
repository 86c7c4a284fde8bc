package baymoor.scale.loop;

/** What a decision thread spends its time on. */
public enum Work {
    /** Lists, other balancers' datagrams, the ticks of the decision module: what grows with the tier. */
    CONTROL,
    /** Requests of clients, and answers of hosts. */
    SERVING,
    /** Drawing requests and answers, and measuring: no balancer does that. */
    TOOL
}
