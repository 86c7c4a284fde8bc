package baymoor.scale.real;

/**
 * What one real balancer came to since its start.
 *
 * @param pid     of its process, another one after a restart
 * @param atNanos when this was taken
 * @param discoveryIn bytes that discovery wrote to it
 */
public record RealSample(
        int number,
        long pid,
        long atNanos,
        CpuParts cpu,
        long memoryBytes,
        long requests,
        long messagesIn,
        long messagesOut,
        long discoveryIn) {}
