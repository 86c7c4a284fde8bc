package baymoor.emulator.world;

/** The balancers of a world, by their numbers. */
public interface Fleet {

    /** Hears of balancers that come and go. */
    interface Watcher {
        /** It listens from now on. */
        void ready(int balancer);

        /** It was told to end (SIGTERM), and from then on closes its listener and its connections. */
        default void ending(int balancer) {}

        /** Its process has ended. */
        void ended(int balancer);
    }

    /** How many balancers there are. */
    int count();

    /** Whether it runs and listens. */
    boolean up(int balancer);

    /** Ends it, by SIGTERM where {@code planned}, else at once, and starts it again. */
    void restart(int balancer, boolean planned);

    /** Ends it at once, for so long; {@code silently}: with its machine. */
    void kill(int balancer, long forMicros, boolean silently);

    /** Its process does nothing for so long. */
    void stall(int balancer, long forMicros);
}
