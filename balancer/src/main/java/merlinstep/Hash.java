package merlinstep;

/** 64-bit hash that is the same at every balancer. */
final class Hash {

    private Hash() {}

    /** Returns the SplitMix64 finalizer of {@code x}. */
    static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }
}
