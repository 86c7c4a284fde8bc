package baymoor.south;

/** Encodes requests to a host and decodes its answers. One instance per connection, for one request at a time. */
interface Codec {

    /**
     * Encodes a request.
     *
     * @param waitMillis how long the balancer will wait for the answer, in milliseconds
     */
    byte[] request(RequestContent content, long waitMillis);

    /** Encodes a request for the load report, or a ping if the host reports no load. */
    byte[] probe();

    /**
     * Decodes more bytes of the answer.
     *
     * @return the reply once it is complete, else null; for malformed bytes an ERROR whose connection is not reusable
     */
    Reply feed(byte[] bytes);

    /**
     * Handles the end of the connection.
     *
     * @param inOrder whether the host closed it in order behind its last byte; false if it was reset or closed by this side
     * @return the reply if the end completes it, else null
     */
    Reply end(boolean inOrder);
}
