package baymoor.emulator.chance;

import baymoor.emulator.scenario.Span;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Single samples from the distributions that the emulator uses; callable from any thread that owns the generator. */
public final class Draw {

    private Draw() {}

    /** Returns a sample of the exponential distribution with mean 1. */
    public static double exponential(UniformRandomProvider random) {
        return ZigguratSampler.Exponential.of(random).sample();
    }

    /** Returns a sample of the normal distribution with mean 0 and standard deviation 1. */
    public static double normal(UniformRandomProvider random) {
        return ZigguratSampler.NormalizedGaussian.of(random).sample();
    }

    /**
     * Returns a sample of the log-normal distribution with mean 1.
     *
     * @param sigma standard deviation of the logarithm; 0 always gives 1
     */
    public static double logNormal(UniformRandomProvider random, double sigma) {
        return sigma == 0 ? 1 : Math.exp(sigma * normal(random) - sigma * sigma / 2);
    }

    /** Returns a uniformly distributed sample between the least and the most of a span. */
    public static long within(UniformRandomProvider random, Span span) {
        return span.least() + (long) (random.nextDouble() * (span.most() - span.least()));
    }

    /** Returns true with the given probability; draws nothing if the probability is 0. */
    public static boolean chance(UniformRandomProvider random, double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }
}
