package baymoor.north;

import baymoor.link.Time;

/** A place in a client's reply queue, for one command or for a run of equal busy replies. */
final class PendingReply {
    final RespClient client;
    final long ticket;
    /** What the request is charged with as {@link baymoor.memory.ClientMemory.Part#OPEN_REQUESTS}. */
    final int requestBytes;

    final int valueBytes;
    Time.Timer deadlineTimer;
    /** The encoded reply, null until there is one. */
    byte[] reply;
    /** What the reply is charged with as {@link baymoor.memory.ClientMemory.Part#UNSENT_REPLIES}. */
    int chargedBytes;

    int repeatCount = 1;

    PendingReply(RespClient client, long ticket, int requestBytes, int valueBytes) {
        this.client = client;
        this.ticket = ticket;
        this.requestBytes = requestBytes;
        this.valueBytes = valueBytes;
    }
}
