package baymoor.scale.real;

/**
 * The processor time of a real balancer, in nanoseconds, by the threads that spent it.
 *
 * @param decisions of the thread that owns all state
 * @param network   of the threads that read and write sockets
 * @param machine   of all else in its JVM: compiler, collector, threads that have ended
 */
public record CpuParts(long decisions, long network, long machine) {

    /** All of them together. */
    public long sum() {
        return decisions + network + machine;
    }
}
