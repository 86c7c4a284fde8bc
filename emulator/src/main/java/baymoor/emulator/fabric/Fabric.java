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
 * What lies between the processes of a rehearsal: which zones hear each other, which datagrams get lost, and what that
 * came to. It is fed bytes and time and knows no socket. As in virtual time nothing passes and nothing is told between
 * zones that are cut off; once a cut is over, connections on which something was stuck are reset, the others go on.
 */
public final class Fabric {

    /**
     * What the faults did, so that a rehearsal can show that they were really there.
     *
     * @param bytesHeld        of connections, swallowed at a cut
     * @param resets           connections that were reset when a cut was over
     * @param datagrams        that came to the fabric
     * @param datagramsLost    by chance
     * @param datagramsCut     at a cut
     * @param datagramsDoubled delivered twice
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

    /** @param random that decides on datagrams */
    public Fabric(Scenario.Net net, int zones, Time time, UniformRandomProvider random) {
        this.net = net;
        this.time = time;
        this.random = random;
        cuts = new ZoneCuts(zones);
    }

    /** Keeps what one zone says from another, the one way only, or lets it pass again. Cuts may overlap. */
    public void cut(int from, int to, boolean cut) {
        cuts.cut(from, to, cut);
        if (!cut) {
            cutEnded();
        }
    }

    /** Cuts a zone off from all others, or joins it to them again. */
    public void cut(int zone, boolean cut) {
        cuts.cutOff(zone, cut);
        if (!cut) {
            cutEnded();
        }
    }

    /** A cut has ended: connections that can pass again go on or are reset. */
    private void cutEnded() {
        for (FabricConnection connection : List.copyOf(connections)) {
            connection.cutEnded();
        }
    }

    boolean isCut(int from, int to) {
        return cuts.isCut(from, to);
    }

    /** Loses so large a share of the datagrams, beside what the scenario loses always. */
    public void lose(double share) {
        extraDatagramLoss = share;
    }

    /**
     * Puts itself between a connection and the host that takes it.
     *
     * @param openerZone zone of the process that opened it
     * @param hostZone  zone of the host
     * @param host takes what it is shown as its connection; null to close it unheard
     */
    public LinkEvents between(Link link, int openerZone, int hostZone, Function<Link, LinkEvents> host) {
        FabricConnection connection = new FabricConnection(this, link, openerZone, hostZone);
        connections.add(connection);
        connection.accept(host);
        return connection;
    }

    /** Takes a datagram; {@code arrives} runs as often as it comes through, and when. */
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
            time.after(delayMicros, () -> {
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

    /** What has passed and what was lost so far. */
    public Counts counts() {
        return new Counts(bytesHeld, resets, datagrams, datagramsLost, datagramsCut, datagramsDoubled);
    }
}
