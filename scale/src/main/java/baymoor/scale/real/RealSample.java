package baymoor.scale.real;

/**
 * What one real balancer came to since its start.
 *
 * @param atNanos when this was taken
 * @param discoveryIn bytes that discovery wrote to it
 */
public record RealSample(
        int number,
        long atNanos,
        long cpuNanos,
        long memoryBytes,
        long requests,
        long messagesIn,
        long messagesOut,
        long discoveryIn) {}
