package baymoor.north;

import baymoor.resp.RespWriter;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** The commands that ask this process only and are no requests. */
final class AuxiliaryCommands {

    private static final int MAX_ECHOED_NAME_LENGTH = 32;

    private AuxiliaryCommands() {}

    /**
     * Returns the reply to a command, or nothing if there is no such command.
     *
     * @param name          the command's name in upper case
     * @param arguments     the command, its name included
     * @param counterReport returns the counters as text
     */
    static Optional<byte[]> reply(String name, List<byte[]> arguments, Supplier<String> counterReport) {
        return switch (name) {
            case "PING" ->
                Optional.of(arguments.size() > 1 ? RespWriter.bulk(arguments.get(1)) : RespWriter.simple("PONG"));
            case "INFO" -> Optional.of(RespWriter.bulk(RespWriter.utf8(counterReport.get())));
            case "CLIENT", "SELECT" -> Optional.of(RespWriter.simple("OK"));
            default -> Optional.empty();
        };
    }

    /** Returns the error for a command that does not exist; its name is repeated only if it is short and printable. */
    static String unknown(String name) {
        boolean echoed = name.length() <= MAX_ECHOED_NAME_LENGTH && name.chars().allMatch(c -> c > ' ' && c < 127);
        return "unknown command" + (echoed ? " '" + name + "'" : "");
    }
}
