package baymoor.south;

/** The protocol of one connection to a host: one request at a time, bytes in, a reply out. */
interface Codec {

    /** @param waitMillis how long the balancer will wait for the answer */
    byte[] request(RequestContent content, long waitMillis);

    /** A question for the load report, or a sign of life where there are none. */
    byte[] probe();

    /** The reply once it is whole, else null. Bytes that can't be read make an ERROR that is not reusable. */
    Reply feed(byte[] bytes);

    /** The connection has ended: a reply that the end completes, else null. */
    Reply end();
}
