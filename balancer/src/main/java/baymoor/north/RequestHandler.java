package baymoor.north;

/** Takes requests in. Each has a ticket, unique for the life of the program, by which it is answered. */
public interface RequestHandler {
    /** A request has come in; its answer is given by the ticket. */
    void taken(long ticket, ClientRequest request);

    /** Whether a request with this id, which its client chose, is open or still out at a host. */
    boolean open(String id);

    /** No answer is owed any more: the client has left, or its time ran out. */
    void gone(long ticket);
}
