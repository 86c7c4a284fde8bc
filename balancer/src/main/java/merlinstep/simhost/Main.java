package merlinstep.simhost;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;

/**
 * Command-line entry point: {@code simhost} runs decision instances for the simulator, which sends events on standard
 * input and reads actions from standard output.
 */
public final class Main {

    private static final int EXIT_USAGE = 2;

    private Main() {}

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar merlinstep.jar simhost");
            System.exit(EXIT_USAGE);
        }
        Host host =
                new Host(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out), System.err);
        System.exit(host.run());
    }
}
