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

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_CANNOT_START = 1;
    private static final int WARM_UP_REQUESTS = 250;

    private Main() {}

    /** Serves until it is told to end; {@code rehearse} plays the rehearsal alone and ends. */
    public static void main(String[] args) {
        boolean warmUpOnly = args.length == 1 && args[0].equals("rehearse");
        if (!warmUpOnly && (args.length != 1 || !args[0].equals("serve"))) {
            System.err.println("usage: java -jar baymoor.jar serve");
            System.exit(EXIT_USAGE);
        }
        ConfigReloader reloader = new ConfigReloader();
        try {
            // First of all, since SIGHUP ends a JVM that does not handle it, and may come while this one starts.
            boolean sighupDelivered = SighupHandler.install(reloader::requestReload);
            ConfigFileWatcher configFileWatcher = sighupDelivered
                    ? null
                    : Config.file(System.getenv()).map(ConfigFileWatcher::new).orElse(null);
            Settings settings = Config.read(System.getenv());
            Log log = Log.fromEnvironment(System.getenv(), settings.name());
            Balancer balancer = new Balancer(settings, log);
            if (warmUpOnly) { // with the balancer made, so that its classes are in the archive too
                WarmUp.runWithSockets(settings, WARM_UP_REQUESTS);
                new Log(new PrintStream(OutputStream.nullOutputStream()), Clock.systemUTC(), "", false).accept("a: b");
                System.exit(0);
            }
            WarmUp.run(settings.module(), WARM_UP_REQUESTS);
            // Before it listens: a SIGTERM between the two would leave what was taken by then unanswered.
            if (addShutdownHook(balancer::drain)) {
                balancer.start();
                reloader.attach(balancer, log);
                if (configFileWatcher != null) {
                    log.accept("config: SIGHUP is ignored in this process, the file is looked at instead");
                    configFileWatcher.watch(reloader::requestReload);
                }
            }
        } catch (BadConfig e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_CANNOT_START);
        } catch (IOException | RuntimeException e) {
            System.err.println("can't listen: " + e.getMessage());
            System.exit(EXIT_CANNOT_START);
        } catch (ReflectiveOperationException e) {
            System.err.println("can't handle SIGHUP: " + e);
            System.exit(EXIT_CANNOT_START);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** False where the program was told to end already: the JVM takes no hook any more. */
    private static boolean addShutdownHook(Runnable task) {
        try {
            Runtime.getRuntime().addShutdownHook(new Thread(task, "drain"));
            return true;
        } catch (IllegalStateException e) {
            return false;
        }
    }
}
