package baymoor.serve;

import baymoor.config.Config;
import baymoor.config.ConfigException;
import baymoor.config.Settings;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Clock;

/**
 * Entry point: {@code serve} runs one balancer in the foreground until SIGTERM; {@code rehearse} performs the warm-up alone, which
 * the build uses to record the classes for the CDS archive.
 */
public final class Main {

    private static final int EXIT_USAGE = 2;
    private static final int EXIT_CANNOT_START = 1;
    private static final int WARM_UP_REQUESTS = 250;

    private Main() {}

    /** Runs the command given as the only argument. */
    public static void main(String[] args) {
        boolean warmUpOnly = args.length == 1 && args[0].equals("rehearse");
        if (!warmUpOnly && (args.length != 1 || !args[0].equals("serve"))) {
            System.err.println("usage: java -jar baymoor.jar serve");
            System.exit(EXIT_USAGE);
        }
        ConfigReloader reloader = new ConfigReloader();
        try {
            // Installed first, since SIGHUP ends a JVM without a handler and may arrive during startup.
            boolean sighupDelivered = SighupHandler.install(reloader::requestReload);
            ConfigFileWatcher configFileWatcher = sighupDelivered
                    ? null
                    : Config.file(System.getenv()).map(ConfigFileWatcher::new).orElse(null);
            Settings settings = Config.read(System.getenv());
            Log log = Log.fromEnvironment(System.getenv(), settings.name());
            Balancer balancer = new Balancer(settings, log);
            Thread.setDefaultUncaughtExceptionHandler(
                    new ThreadDeathHandler(log, balancer::memoryInUse, Runtime.getRuntime()::halt));
            if (warmUpOnly) { // after the balancer was created, so that its classes are archived too
                WarmUp.runWithSockets(settings, WARM_UP_REQUESTS);
                new Log(new PrintStream(OutputStream.nullOutputStream()), Clock.systemUTC(), "", false).accept("a: b");
                System.exit(0);
            }
            WarmUp.run(settings.decisionSettings(), WARM_UP_REQUESTS);
            // Registered before listening: a SIGTERM in between would leave accepted requests unanswered.
            if (addShutdownHook(balancer::drain)) {
                balancer.start();
                reloader.attach(balancer, log);
                if (configFileWatcher != null) {
                    log.accept("config: SIGHUP is ignored in this process, polling the file instead");
                    configFileWatcher.watch(reloader::requestReload);
                }
            }
        } catch (ConfigException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_CANNOT_START);
        } catch (IOException | RuntimeException e) {
            System.err.println("cannot listen: " + e.getMessage());
            System.exit(EXIT_CANNOT_START);
        } catch (ReflectiveOperationException e) {
            System.err.println("cannot install a SIGHUP handler: " + e);
            System.exit(EXIT_CANNOT_START);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns false if the JVM is shutting down already and accepts no more hooks. */
    private static boolean addShutdownHook(Runnable task) {
        try {
            Runtime.getRuntime().addShutdownHook(new Thread(task, "drain"));
            return true;
        } catch (IllegalStateException e) {
            return false;
        }
    }
}
