package baymoor.scale.real;

/**
 * The processor time of a real balancer's threads, in nanoseconds, by what they do.
 *
 * @param decisions of the thread that owns all state
 * @param network   of the threads that read and write sockets
 * @param compiler  of the JVM's compiler: a process that has not run for long has some of that still
 * @param other     of the JVM otherwise
 */
public record CpuParts(long decisions, long network, long compiler, long other) {

    static final CpuParts NONE = new CpuParts(0, 0, 0, 0);

    /** The kernel keeps fifteen letters of a thread's name. */
    static CpuParts ofThread(String name, long nanos) {
        if (name.startsWith("decisions")) {
            return new CpuParts(nanos, 0, 0, 0);
        }
        if (name.startsWith("Nio")) {
            return new CpuParts(0, nanos, 0, 0);
        }
        boolean compiles = name.startsWith("C1 ") || name.startsWith("C2 ");
        return compiles ? new CpuParts(0, 0, nanos, 0) : new CpuParts(0, 0, 0, nanos);
    }

    CpuParts plus(CpuParts more) {
        return new CpuParts(
                decisions + more.decisions, network + more.network, compiler + more.compiler, other + more.other);
    }

    /** All of them together. */
    public long sum() {
        return decisions + network + compiler + other;
    }
}
