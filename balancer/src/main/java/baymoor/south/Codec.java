package baymoor.south;

import java.util.List;

/** Encodes requests to a host and decodes its answers. One instance per connection, for one request at a time. */
interface Codec {

    /** Values up to this size are copied into their request, so that it leaves in one piece; larger ones are sent as they are. */
    int MAX_COPIED_VALUE_BYTES = 16 * 1024;

    /**
     * Encodes a request, in parts that are sent one after another.
     *
     * @param waitMillis how long the balancer will wait for the answer, in milliseconds
     */
    List<byte[]> request(RequestContent content, long waitMillis);

    /** Encodes a request for the load report, or a ping if the host reports no load. */
    byte[] probe();

    /**
     * Decodes more bytes of the answer.
     *
     * @return the reply once it is complete, else null; for malformed bytes an ERROR whose connection is not reusable
     */
    Reply feed(byte[] bytes);

    /**
     * Returns the bytes that the answer received in part will take until it is complete, as far as its lengths have been received;
     * 0 if there is none.
     */
    int requiredBytes();

    /** Prepares for an answer of {@link #requiredBytes}, so that its buffer need not grow. */
    void reserveBuffer();

    /**
     * Handles the end of the connection.
     *
     * @param inOrder whether the host closed it in order behind its last byte; false if it was reset or closed by this side
     * @return the reply if the end completes it, else null
     */
    Reply end(boolean inOrder);
}
