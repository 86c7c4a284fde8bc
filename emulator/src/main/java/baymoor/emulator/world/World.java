package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.ScriptedEvent;
import baymoor.emulator.world.DiscoveryService.ChangeCause;
import baymoor.emulator.world.Listing.Entry;
import baymoor.emulator.world.Listing.Status;
import baymoor.link.Time;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Everything of a scenario except the balancers: routers, origin, discovery and clients. Executes the scenario's script.
 * Not thread-safe; all calls have to come from the thread that runs the platform's timers.
 */
public final class World {

    private static final long RESTART_RETRY_MICROS = 200_000;
    /** Multiple of the longest client timeout after which a run ends even if requests are pending. */
    private static final int END_WAIT_FACTOR = 4;

    private final Scenario scenario;
    private final Platform platform;
    private final Streams streams;
    private final Judge judge;
    private final Tally tally;
    private final BiConsumer<String, String> eventSink;
    private final Time time;
    private final UniformRandomProvider random;
    private final WorkloadModel catalogue;
    private final CacheFiller fills;
    private final Arrivals arrivals;
    private final Routers routers;
    private final Origin origin;
    private final DiscoveryService discovery;
    private final Clients clients;
    /** Time at which each zone was partitioned, -1 while it is not. */
    private final long[] cutSince;

    private long startedAt;
    private Fleet fleet;

    /**
     * Creates the hosts and clients of a scenario; none of them listens or sends before {@link #open}.
     *
     * @param eventSink receives each event of the script: its name, and the host or zone that it affects
     */
    public World(
            Scenario scenario,
            Platform platform,
            Streams streams,
            Judge judge,
            Tally tally,
            BiConsumer<String, String> eventSink) {
        this.scenario = scenario;
        this.platform = platform;
        this.streams = streams;
        this.judge = judge;
        this.tally = tally;
        this.eventSink = eventSink;
        time = platform.time("world", 0);
        random = streams.of("script");
        catalogue = new WorkloadModel(scenario, scenario.seed());
        fills = new CacheFiller(
                time, scenario.net().cross().middle(), scenario.origin().fallMicros(), this::invalidateCopies);
        arrivals = new Arrivals(judge, platform.hostsTell());
        routers = new Routers(
                scenario,
                platform,
                streams,
                time,
                random,
                catalogue,
                fills,
                judge,
                arrivals,
                tally,
                eventSink,
                this::updateDiscovery);
        origin = new Origin(
                scenario,
                platform.time(Origin.NAME, 0),
                streams.of(Origin.NAME),
                catalogue,
                fills,
                judge,
                arrivals,
                tally,
                routers::coldDue,
                this::onOriginOverloaded);
        discovery = new DiscoveryService(
                scenario.discovery(),
                platform.time("discovery", 0),
                streams.of("discovery"),
                judge,
                platform,
                b -> scenario.discovery().pushed() ? -1 : cutOffSince(b),
                (balancer, how) -> eventSink.accept(how, "n" + balancer));
        clients = new Clients(scenario, platform, streams, catalogue, judge, tally);
        cutSince = new long[scenario.zones().size()];
        Arrays.fill(cutSince, -1);
    }

    private void invalidateCopies(String key) {
        routers.invalidate(key);
    }

    private void updateDiscovery(Entry entry, ChangeCause sign) {
        discovery.changed(entry, sign);
    }

    /** Returns the place at which the origin listens. */
    public int originPlace() {
        return routers.count();
    }

    /** Returns the place at which a balancer queries discovery: the service, or its local agent if lists are pushed. */
    public int discoveryPlace(int balancer) {
        return routers.count() + 1 + (scenario.discovery().pushed() ? 1 + balancer : 0);
    }

    /** Returns the host that listens at a place, or was the last to do so; null if the place serves no requests. */
    public String hostAt(int place) {
        return place == originPlace()
                ? Origin.NAME
                : place >= 0 && place < routers.count() ? routers.nameAt(place) : null;
    }

    /** Returns the clients. */
    public Clients clients() {
        return clients;
    }

    /** Returns the list with which a balancer that starts now is configured. */
    public Collection<Entry> listed(int balancer) {
        return discovery.listedFor(balancer);
    }

    /** Returns the version of the list with which a balancer that starts now is configured. */
    public long index(int balancer) {
        return discovery.indexFor(balancer);
    }

    /** Records that a balancer's process starts and received the list in its configuration. */
    public void starts(int balancer) {
        discovery.given(balancer);
    }

    /** Starts all hosts, with the cache contents of a running service. Balancers may start after this call. */
    public void open(Fleet balancers) {
        fleet = balancers;
        routers.open(discovery::begin);
        discovery.begin(
                new Entry(Origin.NAME, originPlace(), scenario.zones().get(0), "origin", 0, Status.IN_SERVICE, 1, 0));
        platform.listen(originPlace(), Origin.NAME, 0, origin::accept);
        if (scenario.discovery().pushed()) {
            openAgents();
        } else {
            platform.listen(discoveryPlace(0), "discovery", 0, discovery::accept);
        }
    }

    private void openAgents() {
        for (int b = 0; b < fleet.count(); b++) {
            int zone = b % scenario.zones().size();
            // The service is in the first zone; an agent that is partitioned from it receives and answers nothing.
            int balancer = b;
            Agent agent = discovery.agent(b, () -> cutOffSince(balancer) < 0);
            platform.listenBeside(b, discoveryPlace(b), "agent-" + b, zone, (link, from) -> agent.accept(link));
        }
    }

    /**
     * Returns the time at which a balancer was partitioned from the first zone, which holds origin and discovery, or -1
     * if it is not partitioned.
     */
    private long cutOffSince(int balancer) {
        int zone = balancer % scenario.zones().size();
        return zone == 0
                ? -1
                : cutSince[0] < 0 || cutSince[zone] < 0
                        ? Math.max(cutSince[0], cutSince[zone])
                        : Math.min(cutSince[0], cutSince[zone]);
    }

    /** Starts the clients and schedules the script. */
    public void begin() {
        startedAt = time.now();
        clients.start();
        if (scenario.keys().changes() > 0) {
            scheduleKeyChange();
        }
        for (ScriptedEvent event : scenario.script()) {
            time.schedule(scenario.warmUpMicros() + event.atMicros() - (time.now() - startedAt), () -> execute(event));
        }
    }

    private long arrivalsEnd() {
        return startedAt + scenario.warmUpMicros() + scenario.durationMicros();
    }

    /** Returns whether clients still send new requests. */
    public boolean asking() {
        return time.now() < arrivalsEnd();
    }

    /** Returns whether the run is over: all requests have ended, or their timeouts have long passed. */
    public boolean over() {
        long longest = scenario.classes().stream()
                .mapToLong(Scenario.RequestClass::giveUpMicros)
                .max()
                .orElse(0);
        return !asking() && (clients.pendingRequests() == 0 || time.now() >= arrivalsEnd() + END_WAIT_FACTOR * longest);
    }

    private void scheduleKeyChange() {
        time.schedule((long) (Draw.exponential(random) / scenario.keys().changes() * 1e6) + 1, () -> {
            fills.invalidate(WorkloadModel.name(
                    catalogue.key(random.nextInt(scenario.keys().count()), time.now() - startedAt)));
            scheduleKeyChange();
        });
    }

    private void onOriginOverloaded() {
        eventSink.accept("fell", Origin.NAME);
        stopOrigin(Draw.within(random, scenario.origin().downMicros()));
    }

    private void stopOrigin(long micros) {
        origin.stop();
        platform.stopListening(originPlace(), false);
        time.schedule(micros, () -> {
            origin.start();
            platform.listen(originPlace(), Origin.NAME, 0, origin::accept);
        });
    }

    private void execute(ScriptedEvent event) {
        eventSink.accept(event.what().name().toLowerCase(java.util.Locale.ROOT), event.zone());
        switch (event.what()) {
            case SURGE -> {
                clients.multiplyLoad(event.factor());
                time.schedule(event.forMicros(), () -> clients.multiplyLoad(1 / event.factor()));
            }
            case SCAN -> {
                clients.setOneOffReadShare(event.share());
                time.schedule(event.forMicros(), () -> clients.setOneOffReadShare(0));
            }
            case CUT -> {
                int zone = scenario.zones().indexOf(event.zone());
                platform.cut(zone, true);
                cutSince[zone] = time.now();
                time.schedule(event.forMicros(), () -> {
                    platform.cut(zone, false);
                    cutSince[zone] = -1;
                    discovery.push();
                });
            }
            case SLOW_ORIGIN -> {
                origin.setSlowdown(event.factor());
                time.schedule(event.forMicros(), () -> origin.setSlowdown(1));
            }
            case STOP_ORIGIN -> stopOrigin(event.forMicros());
            case FLUSH -> routers.flush(event.share());
            case HOT_KEY -> {
                clients.setHotKey(event.share(), random.nextLong());
                time.schedule(event.forMicros(), () -> clients.setHotKey(0, 0));
            }
            case LOSE_DATAGRAMS -> {
                platform.loseDatagrams(event.share());
                time.schedule(event.forMicros(), () -> platform.loseDatagrams(0));
            }
            case DISCOVERY_SLOW -> {
                discovery.setSlowdown(event.factor());
                time.schedule(event.forMicros(), () -> discovery.setSlowdown(1));
            }
            case DISCOVERY_DOWN -> {
                discovery.down();
                // An agent keeps listening without answering; a busy service keeps listening to reject calls.
                boolean keepsListening =
                        scenario.discovery().pushed() || scenario.discovery().busyWhenDown();
                if (!keepsListening) {
                    platform.stopListening(discoveryPlace(0), false);
                }
                time.schedule(event.forMicros(), () -> {
                    discovery.up();
                    if (!keepsListening) {
                        platform.listen(discoveryPlace(0), "discovery", 0, discovery::accept);
                    }
                });
            }
            case RESTART_BALANCERS -> restartBalancers(event);
            case KILL_BALANCER, VANISH_BALANCER, STALL_BALANCER -> disruptBalancers(event);
            default -> routers.apply(event);
        }
    }

    private void disruptBalancers(ScriptedEvent event) {
        List<Integer> balancers = shuffledBalancers();
        for (int b : balancers.subList(0, Math.min(event.count(), balancers.size()))) {
            switch (event.what()) {
                case KILL_BALANCER -> fleet.kill(b, event.forMicros(), false);
                case VANISH_BALANCER -> fleet.kill(b, event.forMicros(), true);
                default -> fleet.stall(b, event.forMicros());
            }
        }
    }

    private List<Integer> shuffledBalancers() {
        List<Integer> balancers = new ArrayList<>();
        for (int b = 0; b < fleet.count(); b++) {
            balancers.add(b);
        }
        Collections.shuffle(balancers, new Random(random.nextLong()));
        return balancers;
    }

    /** Schedules a rolling restart of a share of the balancers, within the limit of balancers down at a time. */
    private void restartBalancers(ScriptedEvent event) {
        List<Integer> balancers = shuffledBalancers();
        int restarts = (int) Math.ceil(event.share() * balancers.size());
        int maxDown = Math.max(1, (int) (event.atOnce() * balancers.size()));
        for (int i = 0; i < restarts; i++) {
            int b = balancers.get(i);
            time.schedule(event.withinMicros() * i / restarts, () -> restartWhenAllowed(event, b, maxDown));
        }
    }

    private void restartWhenAllowed(ScriptedEvent event, int balancer, int maxDown) {
        long down = shuffledBalancers().stream().filter(b -> !fleet.up(b)).count();
        if (down >= maxDown) {
            time.schedule(RESTART_RETRY_MICROS, () -> restartWhenAllowed(event, balancer, maxDown));
        } else {
            fleet.restart(balancer, event.planned());
        }
    }
}
