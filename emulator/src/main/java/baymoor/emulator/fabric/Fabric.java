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
    private final UniformRandomProvider chance;
    private final ZoneCuts cuts;
    private final Set<Wire> wires = new LinkedHashSet<>();
    private double loss;
    private long bytesHeld;
    private long resets;
    private long datagrams;
    private long datagramsLost;
    private long datagramsCut;
    private long datagramsDoubled;

    /** @param chance that decides on datagrams */
    public Fabric(Scenario.Net net, int zones, Time time, UniformRandomProvider chance) {
        this.net = net;
        this.time = time;
        this.chance = chance;
        cuts = new ZoneCuts(zones);
    }

    /** Keeps what one zone says from another, the one way only, or lets it pass again. Cuts may overlap. */
    public void cut(int from, int to, boolean cut) {
        cuts.cut(from, to, cut);
        if (!cut) {
            healed();
        }
    }

    /** Cuts a zone off from all others, or joins it to them again. */
    public void cut(int zone, boolean cut) {
        cuts.cutOff(zone, cut);
        if (!cut) {
            healed();
        }
    }

    /** A cut has ended: connections that can pass again go on or are reset. */
    private void healed() {
        for (Wire wire : List.copyOf(wires)) {
            wire.healed();
        }
    }

    boolean isCut(int from, int to) {
        return cuts.isCut(from, to);
    }

    /** Loses so large a share of the datagrams, beside what the scenario loses always. */
    public void lose(double share) {
        loss = share;
    }

    /**
     * Puts itself between a connection and the host that takes it.
     *
     * @param near zone of the process that opened it
     * @param far  zone of the host
     * @param host takes what it is shown as its connection; null to close it unheard
     */
    public LinkEvents between(Link link, int near, int far, Function<Link, LinkEvents> host) {
        Wire wire = new Wire(this, link, near, far);
        wires.add(wire);
        wire.accepted(host);
        return wire;
    }

    /** Takes a datagram; {@code arrives} runs as often as it comes through, and when. */
    public void datagram(int from, int to, Runnable arrives) {
        datagrams++;
        if (isCut(from, to)) {
            datagramsCut++;
            return;
        }
        if (Draw.chance(chance, Math.max(loss, net.datagramLoss()))) {
            datagramsLost++;
            return;
        }
        List<Long> copies = new ArrayList<>(List.of(Draw.within(chance, net.datagram())));
        if (Draw.chance(chance, net.datagramDouble())) {
            datagramsDoubled++;
            copies.add(Draw.within(chance, net.datagram()));
        }
        for (long after : copies) {
            time.after(after, () -> {
                if (isCut(from, to)) {
                    datagramsCut++;
                } else {
                    arrives.run();
                }
            });
        }
    }

    void held(int bytes) {
        bytesHeld += bytes;
    }

    void reset() {
        resets++;
    }

    void over(Wire wire) {
        wires.remove(wire);
    }

    /** What has passed and what was lost so far. */
    public Counts counts() {
        return new Counts(bytesHeld, resets, datagrams, datagramsLost, datagramsCut, datagramsDoubled);
    }
}
