package baymoor.north;

/** Handles clients' requests. Each has a ticket, unique while the process runs, by which it is answered. */
public interface RequestHandler {
    /** Handles a new request; its response is sent by {@link North#answer} with the ticket. */
    void taken(long ticket, ClientRequest request);

    /** Returns whether a request with this client-chosen id is open, or an attempt of it is still in flight. */
    boolean open(String id);

    /** Handles a request that no longer awaits a response: its client has disconnected, or its deadline has passed. */
    void gone(long ticket);
}
