package merlinstep;

/** Spreads the bits of numbers evenly; the same everywhere, so that balancers agree on what they hash. */
final class Hash {

    private Hash() {}

    static long mix(long x) {
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return x ^ (x >>> 31);
    }
}
