package baymoor.north;

import baymoor.link.Link;
import baymoor.memory.ClientMemory;
import baymoor.memory.ClientMemory.Part;
import baymoor.resp.Resp;
import baymoor.resp.RespException;
import baymoor.resp.RespReader;

/**
 * Parses the commands of one client connection. A partial command larger than the connection's window is kept only if its
 * memory could be reserved whole, so that it can always be completed; else its content is skipped.
 */
final class CommandInput {

    private final Link link;
    private final ClientMemory memory;
    private final RespReader reader = RespReader.ofCommands();
    private int reservedBytes;

    CommandInput(Link link, ClientMemory memory) {
        this.link = link;
        this.memory = memory;
    }

    /** Appends received bytes. */
    void feed(byte[] bytes) {
        reader.feed(bytes);
    }

    /**
     * Parses the next command.
     *
     * @return the command, {@link Resp.SkippedCommand} for one that there was no memory for, or null if more input is needed
     * @throws RespException if the input is not valid
     */
    Resp next() throws RespException {
        Resp command = reader.next();
        if (command == null && !reserve(reader.requiredBytes())) {
            reader.skipCommand();
            command = reader.next();
        }
        return command;
    }

    /** Returns whether part of a command has been received. */
    boolean hasPartialCommand() {
        return reader.hasPartialInput();
    }

    /** Releases what is reserved; for a connection that is closed. */
    void release() {
        memory.add(Part.PARTIAL_COMMANDS, -reservedBytes);
        reservedBytes = 0;
    }

    /** Reserves the memory of a partial command in place of what is reserved; returns false if there is no room for it. */
    private boolean reserve(int requiredBytes) {
        int window = memory.connectionWindowBytes();
        int wanted = requiredBytes > window ? requiredBytes : 0;
        if (wanted == reservedBytes) {
            return true;
        }
        memory.add(Part.PARTIAL_COMMANDS, -reservedBytes);
        boolean granted = memory.tryReserve(Part.PARTIAL_COMMANDS, wanted);
        reservedBytes = granted ? wanted : 0;
        reader.fitBuffer();
        link.setReceiveWindow(Math.max(window, reservedBytes - reader.heldBytes()));
        return granted;
    }
}
