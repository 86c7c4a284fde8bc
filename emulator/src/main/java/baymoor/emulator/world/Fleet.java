package baymoor.emulator.world;

/** Controls the balancer processes of a run, which are numbered from 0. */
public interface Fleet {

    /** Receives the lifecycle events of balancer processes. */
    interface Watcher {
        /** The balancer has started to listen. */
        void ready(int balancer);

        /** The balancer received SIGTERM, and closes its listener and its connections from now on. */
        default void ending(int balancer) {}

        /** The balancer's process has exited. */
        void ended(int balancer);
    }

    /** Returns the number of balancers. */
    int count();

    /** Returns whether the balancer is running and listening. */
    boolean up(int balancer);

    /**
     * Ends a balancer and starts it again.
     *
     * @param planned whether it is ended by SIGTERM and may shut down gracefully, or killed
     */
    void restart(int balancer, boolean planned);

    /**
     * Kills a balancer and starts it again after {@code forMicros}.
     *
     * @param silently whether it vanishes with its machine, so that connections are not closed
     */
    void kill(int balancer, long forMicros, boolean silently);

    /** Stops a balancer's process from making progress for {@code forMicros}. */
    void stall(int balancer, long forMicros);
}
