package baymoor.scale.run;

import baymoor.emulator.chance.Streams;
import baymoor.emulator.fabric.Fabric;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.Acceptor;
import baymoor.emulator.world.Platform;
import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.Time;
import baymoor.net.MinaNet;
import baymoor.scale.plan.ScalePlan;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLongArray;

/** Carries the emulator's world for a scale run: discovery listens for every balancer, all other hosts for the real ones. */
final class ScalePlatform implements Platform {

    private static final long SLACK_MICROS = 50_000;

    private final Time time;
    private final MinaNet net;
    private final ScalePlan plan;
    private final Addresses addresses;
    private final Fabric fabric;
    private final int discoveryPlace;
    private final long unixApart;
    private final AtomicLongArray discoverySent;

    /** @param streams from which the fabric's chance comes */
    ScalePlatform(Time time, MinaNet net, ScalePlan plan, Scenario scenario, Addresses addresses, Streams streams) {
        this.time = time;
        this.net = net;
        this.plan = plan;
        this.addresses = addresses;
        fabric = new Fabric(scenario.net(), plan.places().zones().size(), time, streams.of("fabric"));
        discoverySent = new AtomicLongArray(plan.balancers().count());
        discoveryPlace = plan.routers().count() + 1;
        unixApart = System.currentTimeMillis() - time.now() / 1000;
    }

    Fabric fabric() {
        return fabric;
    }

    @Override
    public Time time(String host, int zone) {
        return time;
    }

    @Override
    public void listen(int place, String host, int zone, Acceptor acceptor) {
        int listeners = place == discoveryPlace
                ? plan.balancers().count()
                : plan.balancers().real();
        for (int balancer = 0; balancer < listeners; balancer++) {
            listenBeside(balancer, place, host, zone, acceptor);
        }
    }

    @Override
    public void listenBeside(int balancer, int place, String host, int zone, Acceptor acceptor) {
        int near = plan.places().zoneOf(balancer);
        try {
            net.listen(
                    address(place, balancer),
                    link -> fabric.between(
                            counted(link, place, balancer), near, zone, wire -> acceptor.accept(wire, balancer)));
        } catch (IOException e) {
            throw new UncheckedIOException(host + " can't listen at " + address(place, balancer), e);
        }
    }

    private Link counted(Link link, int place, int balancer) {
        return place == discoveryPlace
                ? new CountedLink(link, bytes -> discoverySent.addAndGet(balancer, bytes))
                : link;
    }

    /** Bytes that discovery has sent to a balancer so far. */
    long discoverySent(int balancer) {
        return discoverySent.get(balancer);
    }

    @Override
    public void stopListening(int place, boolean silently) {
        int listeners = place == discoveryPlace
                ? plan.balancers().count()
                : plan.balancers().real();
        for (int balancer = 0; balancer < listeners; balancer++) {
            net.stopListening(address(place, balancer));
        }
    }

    @Override
    public Dialer clients(int zone) {
        return net;
    }

    @Override
    public InetSocketAddress balancer(int number) {
        return addresses.clients(number);
    }

    @Override
    public InetSocketAddress peer(int number, int seenBy) {
        return addresses.peers(number);
    }

    @Override
    public InetSocketAddress everyone() {
        return null;
    }

    @Override
    public InetSocketAddress address(int place, int balancer) {
        return place == discoveryPlace ? addresses.discovery(balancer) : addresses.host(place, balancer);
    }

    @Override
    public long unixMillis(long micros) {
        return micros / 1000 + unixApart;
    }

    @Override
    public boolean hostsTell() {
        return true;
    }

    @Override
    public long slackMicros() {
        return SLACK_MICROS;
    }

    @Override
    public void cut(int zone, boolean cut) {
        fabric.cut(zone, cut);
    }

    @Override
    public void loseDatagrams(double share) {
        fabric.lose(share);
    }
}
