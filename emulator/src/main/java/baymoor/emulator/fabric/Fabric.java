package baymoor.emulator.fabric;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.scenario.Scenario;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Injects network faults between the processes of a run on real sockets: zone partitions and lost or duplicated datagrams.
 * It handles bytes and time only and opens no socket. Nothing crosses a cut, not even a close; when the cut ends,
 * connections on which something was dropped are reset and the others continue.
 */
public final class Fabric {

    /**
     * Counts of injected faults.
     *
     * @param bytesHeld bytes of connections dropped at a cut
     * @param resets connections reset when a cut ended
     * @param datagrams datagrams given to the fabric
     * @param datagramsLost datagrams dropped at random
     * @param datagramsCut datagrams dropped at a cut
     * @param datagramsDoubled datagrams delivered twice
     */
    public record Counts(
            long bytesHeld,
            long resets,
            long datagrams,
            long datagramsLost,
            long datagramsCut,
            long datagramsDoubled) {}

    final Time time;
    private final Scenario.Net net;
    private final UniformRandomProvider random;
    private final ZoneCuts cuts;
    private final Set<FabricConnection> connections = new LinkedHashSet<>();
    private double extraDatagramLoss;
    private long bytesHeld;
    private long resets;
    private long datagrams;
    private long datagramsLost;
    private long datagramsCut;
    private long datagramsDoubled;

    /** @param random decides on the loss, duplication and delay of datagrams */
    public Fabric(Scenario.Net net, int zones, Time time, UniformRandomProvider random) {
        this.net = net;
        this.time = time;
        this.random = random;
        cuts = new ZoneCuts(zones);
    }

    /** Starts or ends a cut of one direction between two zones. Cuts may overlap. */
    public void cut(int from, int to, boolean cut) {
        cuts.cut(from, to, cut);
        if (!cut) {
            cutEnded();
        }
    }

    /** Starts or ends a cut between a zone and all others. */
    public void cut(int zone, boolean cut) {
        cuts.cutOff(zone, cut);
        if (!cut) {
            cutEnded();
        }
    }

    /** Resets connections that lost something and whose zones can reach each other again. */
    private void cutEnded() {
        for (FabricConnection connection : List.copyOf(connections)) {
            connection.cutEnded();
        }
    }

    boolean isCut(int from, int to) {
        return cuts.isCut(from, to);
    }

    /** Sets a share of datagrams to lose; the larger of this and the loss of the scenario applies. */
    public void lose(double share) {
        extraDatagramLoss = share;
    }

    /**
     * Interposes the fabric between a connection and the host that accepts it.
     *
     * @param openerZone zone of the process that opened the connection
     * @param hostZone zone of the host
     * @param host accepts the proxied connection, or returns null to close it
     */
    public LinkEvents between(Link link, int openerZone, int hostZone, Function<Link, LinkEvents> host) {
        FabricConnection connection = new FabricConnection(this, link, openerZone, hostZone);
        connections.add(connection);
        connection.accept(host);
        return connection;
    }

    /**
     * Passes on a datagram.
     *
     * @param onArrival runs once for each copy that is delivered, at its time of arrival
     */
    public void datagram(int from, int to, Runnable onArrival) {
        datagrams++;
        if (isCut(from, to)) {
            datagramsCut++;
            return;
        }
        if (Draw.chance(random, Math.max(extraDatagramLoss, net.datagramLoss()))) {
            datagramsLost++;
            return;
        }
        List<Long> copies = new ArrayList<>(List.of(Draw.within(random, net.datagram())));
        if (Draw.chance(random, net.datagramDouble())) {
            datagramsDoubled++;
            copies.add(Draw.within(random, net.datagram()));
        }
        for (long delayMicros : copies) {
            time.schedule(delayMicros, () -> {
                if (isCut(from, to)) {
                    datagramsCut++;
                } else {
                    onArrival.run();
                }
            });
        }
    }

    void countHeldBytes(int bytes) {
        bytesHeld += bytes;
    }

    void countReset() {
        resets++;
    }

    void remove(FabricConnection connection) {
        connections.remove(connection);
    }

    /** Returns the counts so far. */
    public Counts counts() {
        return new Counts(bytesHeld, resets, datagrams, datagramsLost, datagramsCut, datagramsDoubled);
    }
}
