package baymoor.serve;

import baymoor.config.Config;
import baymoor.config.ConfigException;

/**
 * Reloads the configuration on request, one reload at a time, so that the last one applied is the newest. A request during startup
 * is deferred until the balancer serves, since the file may have been read before it was replaced.
 *
 * <p>Thread-safe.
 */
final class ConfigReloader {

    private Balancer balancer;
    private Log log;
    private boolean reloadRequested;

    /** Reloads the configuration, or marks it to be reloaded once a balancer is attached. */
    synchronized void requestReload() {
        reloadRequested = true;
        reloadIfRequested();
    }

    /** Sets the balancer to be configured, and performs a reload that was requested before. */
    synchronized void attach(Balancer runningBalancer, Log balancerLog) {
        balancer = runningBalancer;
        log = balancerLog;
        reloadIfRequested();
    }

    /** Logs an invalid file and keeps the previous configuration. */
    private void reloadIfRequested() {
        if (!reloadRequested || balancer == null) {
            return;
        }
        reloadRequested = false;
        try {
            balancer.reload(Config.read(System.getenv()));
        } catch (ConfigException | RuntimeException e) {
            log.accept(e.getMessage() + "; keeping the previous configuration");
        }
    }
}
