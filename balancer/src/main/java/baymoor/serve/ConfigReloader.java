package baymoor.serve;

import baymoor.config.BadConfig;
import baymoor.config.Config;

/**
 * Reads the configuration again when that is asked for, one reading after another, so that the last one is the newest. What is
 * asked for while the program starts is done once it serves: the file may have been read before it was replaced.
 */
final class ConfigReloader {

    private Balancer balancer;
    private Log log;
    private boolean reloadRequested;

    /** SIGHUP has come, on whatever thread. */
    synchronized void requestReload() {
        reloadRequested = true;
        reloadIfRequested();
    }

    /** From now on there is a balancer to hand it to. */
    synchronized void attach(Balancer runningBalancer, Log balancerLog) {
        balancer = runningBalancer;
        log = balancerLog;
        reloadIfRequested();
    }

    /** A file that can't be used is logged, and what was read before stays. */
    private void reloadIfRequested() {
        if (!reloadRequested || balancer == null) {
            return;
        }
        reloadRequested = false;
        try {
            balancer.reload(Config.read(System.getenv()));
        } catch (BadConfig | RuntimeException e) {
            log.accept(e.getMessage() + "; the old configuration stays");
        }
    }
}
