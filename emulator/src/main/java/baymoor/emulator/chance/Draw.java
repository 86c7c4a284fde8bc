package baymoor.emulator.chance;

import baymoor.emulator.scenario.Span;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Single draws from the distributions that a world needs. */
public final class Draw {

    private Draw() {}

    /** Exponential with a mean of 1. */
    public static double exponential(UniformRandomProvider random) {
        return ZigguratSampler.Exponential.of(random).sample();
    }

    /** Normal with mean 0 and deviation 1. */
    public static double normal(UniformRandomProvider random) {
        return ZigguratSampler.NormalizedGaussian.of(random).sample();
    }

    /** Log-normal with a mean of 1: {@code sigma} is the deviation of its logarithm. */
    public static double logNormal(UniformRandomProvider random, double sigma) {
        return sigma == 0 ? 1 : Math.exp(sigma * normal(random) - sigma * sigma / 2);
    }

    /** Even within a span. */
    public static long within(UniformRandomProvider random, Span span) {
        return span.least() + (long) (random.nextDouble() * (span.most() - span.least()));
    }

    /** True with a probability of {@code share}. */
    public static boolean chance(UniformRandomProvider random, double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }
}
