package baymoor.serve;

import baymoor.config.BadConfig;
import baymoor.config.Config;
import baymoor.config.Settings;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Clock;

/**
 * Command line entry: {@code serve} runs one balancer in the foreground until SIGTERM; {@code rehearse} is what the
 * build runs to learn which classes that takes.
 */
public final class Main {

    private static final int USAGE = 2;
    private static final int CANNOT_START = 1;
    private static final int REHEARSED = 250;

    private Main() { }

    public static void main(String[] args) {
        boolean rehearse = args.length == 1 && args[0].equals("rehearse");
        if (!rehearse && (args.length != 1 || !args[0].equals("serve"))) {
            System.err.println("usage: java -jar baymoor.jar serve");
            System.exit(USAGE);
        }
        try {
            Settings settings = Config.read(System.getenv());
            Log log = Log.ofEnvironment(System.getenv(), settings.name());
            Balancer balancer = new Balancer(settings, log);
            if (rehearse) { // with the balancer made, so that its classes are in the archive too
                Rehearsal.full(settings, REHEARSED);
                new Log(new PrintStream(OutputStream.nullOutputStream()), Clock.systemUTC(), "", false).accept("a: b");
                System.exit(0);
            }
            Rehearsal.play(settings.module(), REHEARSED);
            Hangup.handle(() -> reload(balancer, log));
            balancer.start();
            log.accept("listening: " + settings.listen().getAddress().getHostAddress() + ":" + settings.listen().getPort());
            Runtime.getRuntime().addShutdownHook(new Thread(balancer::drain, "drain"));
        } catch (BadConfig e) {
            System.err.println(e.getMessage());
            System.exit(CANNOT_START);
        } catch (IOException | RuntimeException e) {
            System.err.println("can't listen: " + e.getMessage());
            System.exit(CANNOT_START);
        } catch (ReflectiveOperationException e) {
            System.err.println("can't handle SIGHUP: " + e);
            System.exit(CANNOT_START);
        }
    }

    /** A file that can't be used is logged, and what was read before stays. */
    private static void reload(Balancer balancer, Log log) {
        try {
            balancer.reload(Config.read(System.getenv()));
        } catch (BadConfig | RuntimeException e) {
            log.accept(e.getMessage() + "; the old configuration stays");
        }
    }
}
