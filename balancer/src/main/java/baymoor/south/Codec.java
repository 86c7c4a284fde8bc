package baymoor.south;

/** Encodes requests to a host and decodes its answers. One instance serves one connection, one request at a time. */
interface Codec {

    /**
     * Encodes a request.
     *
     * @param waitMillis how long the balancer will wait for the answer, in milliseconds
     */
    byte[] request(RequestContent content, long waitMillis);

    /** A request for the load report, or a ping where the host gives none. */
    byte[] probe();

    /** Decodes more bytes: the reply once it is complete, else null. Malformed bytes give an ERROR that is not reusable. */
    Reply feed(byte[] bytes);

    /** Handles the end of the connection: a reply that the end completes, else null. */
    Reply end();
}
