package baymoor.north;

/**
 * Handles clients' requests. Each request has a number, unique within the process, that identifies it when it is
 * answered.
 */
public interface RequestHandler {
    /** Handles a new request; its response is sent by {@link North#answer} with the ticket. */
    void requestReceived(long ticket, ClientRequest request);

    /**
     * Returns whether a request with this client-chosen id has not been answered, or still has an attempt in flight.
     */
    boolean isRequestIdInUse(String id);

    /** Called when a request needs no answer any more: its client has disconnected, or its deadline has passed. */
    void requestAbandoned(long ticket);
}
