package baymoor.emulator.world;

import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.RouterKind;
import baymoor.emulator.scenario.Scenario.ScriptedEvent;
import baymoor.emulator.world.DiscoveryService.ChangeCause;
import baymoor.emulator.world.Listing.Entry;
import baymoor.emulator.world.Listing.Status;
import baymoor.link.Time;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Manages the routers of a scenario: one at each listening place with its inventory entry, and the scripted events that
 * affect them. Not thread-safe: all calls come from the platform's event thread.
 */
final class Routers {

    /** Largest relative error of a listed weight. */
    private static final double WEIGHT_ERROR = 0.1;
    /** Limit over all routers, which bounds start-up time and memory of large fleets. */
    private static final int MAX_PREFILLED_OBJECTS = 400_000;

    private final Scenario scenario;
    private final Platform platform;
    private final Streams streams;
    private final Time time;
    private final UniformRandomProvider random;
    private final WorkloadModel catalogue;
    private final CacheFiller fills;
    private final Judge judge;
    private final Arrivals arrivals;
    private final Tally tally;
    private final BiConsumer<String, String> onEvent;
    private final BiConsumer<Entry, ChangeCause> onEntryChange;
    private final List<Slot> slots = new ArrayList<>();
    private int replacements;

    /** A listening place and its current router. */
    private static final class Slot {
        final int place;
        Router router;
        Entry entry;

        Slot(int place) {
            this.place = place;
        }
    }

    /**
     * @param onEvent       receives each event as its name and the name of the router
     * @param onEntryChange receives changed entries, with how discovery can notice the change
     */
    Routers(
            Scenario scenario,
            Platform platform,
            Streams streams,
            Time time,
            UniformRandomProvider random,
            WorkloadModel catalogue,
            CacheFiller fills,
            Judge judge,
            Arrivals arrivals,
            Tally tally,
            BiConsumer<String, String> onEvent,
            BiConsumer<Entry, ChangeCause> onEntryChange) {
        this.scenario = scenario;
        this.platform = platform;
        this.streams = streams;
        this.time = time;
        this.random = random;
        this.catalogue = catalogue;
        this.fills = fills;
        this.judge = judge;
        this.arrivals = arrivals;
        this.tally = tally;
        this.onEvent = onEvent;
        this.onEntryChange = onEntryChange;
        int place = 0;
        for (RouterKind kind : scenario.routers()) {
            for (int i = 0; i < kind.count(); i++) {
                Slot slot = new Slot(place++);
                slot.router = createRouter(
                        "s-" + slot.place, slot.place % scenario.zones().size(), kind);
                slots.add(slot);
            }
        }
    }

    private Router createRouter(String name, int zone, RouterKind kind) {
        return new Router(
                name,
                zone,
                kind,
                scenario.figures(),
                platform.time(name, zone),
                streams.of(name),
                catalogue,
                fills,
                judge,
                arrivals,
                tally,
                this::crashed);
    }

    /** Returns the number of places; they are numbered from 0. */
    int count() {
        return slots.size();
    }

    /** Returns the name of the current or latest router at a place. */
    String nameAt(int place) {
        return slots.get(place).router.name();
    }

    /**
     * Starts all routers warm, with prefilled caches if the scenario says so.
     *
     * @param onListed receives the inventory entry of each router
     */
    void open(Consumer<Entry> onListed) {
        List<Router.PrefilledObject> prefilled = new ArrayList<>();
        int objectCount = Math.min(scenario.keys().count(), MAX_PREFILLED_OBJECTS / Math.max(1, slots.size()));
        for (int rank = 0; rank < objectCount && scenario.keys().prefill(); rank++) {
            long key = catalogue.key(rank, 0);
            prefilled.add(new Router.PrefilledObject(
                    WorkloadModel.name(key), catalogue.profile(key).size()));
        }
        for (Slot slot : slots) {
            slot.router.start(0);
            slot.router.prefill(prefilled);
            slot.entry = createEntry(slot);
            onListed.accept(slot.entry);
            listen(slot);
        }
    }

    /** Invalidates all cached copies of a key. */
    void invalidate(String key) {
        slots.forEach(slot -> slot.router.invalidate(key));
    }

    /**
     * Invalidates cached objects of each router at random.
     *
     * @param share probability for each object, from 0 to 1
     */
    void flush(double share) {
        slots.forEach(slot -> slot.router.flush(share));
    }

    private Entry createEntry(Slot slot) {
        Router r = slot.router;
        double weight = r.ratedCapacity() * (1 + WEIGHT_ERROR * (2 * random.nextDouble() - 1));
        return new Entry(
                r.name(),
                slot.place,
                scenario.zones().get(r.zone()),
                r.kind().name(),
                0,
                Status.IN_SERVICE,
                Math.round(weight * 100) / 100.0,
                r.startedAt());
    }

    private void listen(Slot slot) {
        Router r = slot.router;
        platform.listen(slot.place, r.name(), r.zone(), r::accept);
    }

    /** Returns the share of reads that cold routers get if weights follow current capacities. */
    double coldDue() {
        double coldWeight = 0;
        double totalWeight = 0;
        for (Slot s : slots) {
            double weight =
                    s.router.state() == Router.State.UP ? s.router.ratedCapacity() * s.router.warmUpFactor() : 0;
            totalWeight += weight;
            coldWeight += s.router.cold() ? weight : 0;
        }
        return totalWeight == 0 ? 0 : coldWeight / totalWeight;
    }

    private void crashed(Router router) {
        slots.stream().filter(s -> s.router == router).forEach(s -> {
            onEvent.accept("fell", router.name());
            reportTerminated(s, false);
        });
    }

    private void reportTerminated(Slot slot, boolean silently) {
        platform.stopListening(slot.place, silently);
        onEntryChange.accept(
                slot.entry.withStatus(Status.TERMINATED), silently ? ChangeCause.SILENT : ChangeCause.ENDED);
    }

    /** Chooses as many running routers as the event asks for at random, within its zone if it names one. */
    private List<Slot> chooseRunning(ScriptedEvent event) {
        List<Slot> running = new ArrayList<>(slots.stream()
                .filter(s -> s.router.state() == Router.State.UP
                        && (event.zone().isEmpty()
                                || scenario.zones().get(s.router.zone()).equals(event.zone())))
                .toList());
        Collections.shuffle(running, new Random(random.nextLong()));
        return running.subList(0, Math.min(event.count(), running.size()));
    }

    /** Applies an event to as many running routers as it asks for. */
    void apply(ScriptedEvent event) {
        chooseRunning(event).forEach(slot -> apply(event, slot));
    }

    private void apply(ScriptedEvent event, Slot slot) {
        Router r = slot.router;
        onEvent.accept(event.what().name().toLowerCase(Locale.ROOT), r.name());
        switch (event.what()) {
            case RESTART_ROUTER, VANISH_ROUTER -> {
                reportTerminated(slot, event.what() == Scenario.EventKind.VANISH_ROUTER);
                r.stop();
                time.schedule(event.forMicros(), () -> startCold(slot));
            }
            case REPLACE_ROUTER -> {
                reportTerminated(slot, false);
                r.stop();
                slot.router = createRouter("s-" + slot.place + "r" + ++replacements, r.zone(), r.kind());
                time.schedule(event.forMicros(), () -> startCold(slot));
            }
            case DRAIN_ROUTER -> {
                r.drain();
                onEntryChange.accept(slot.entry.withStatus(Status.TERMINATING), ChangeCause.ENDED);
                time.schedule(event.forMicros(), () -> {
                    if (slot.router == r && r.state() == Router.State.DRAINING) {
                        r.undrain();
                        onEntryChange.accept(slot.entry, ChangeCause.ADDED);
                    }
                });
            }
            case PAUSE_ROUTER -> r.pause(event.forMicros());
            case SLOW_ROUTER -> {
                r.setSlowdown(event.factor());
                time.schedule(event.forMicros(), () -> r.setSlowdown(1));
            }
            case HANG_ROUTER -> {
                r.hang(true);
                time.schedule(event.forMicros(), () -> r.hang(false));
            }
            case BAD_ROUTER -> {
                r.injectAnswerFault(event.answerFault(), event.share());
                time.schedule(event.forMicros(), () -> r.injectAnswerFault(null, 0));
            }
            default -> throw new IllegalStateException("not a router event: " + event.what());
        }
    }

    private void startCold(Slot slot) {
        Router r = slot.router;
        if (r.state() != Router.State.DOWN) {
            return;
        }
        r.start(time.now() / 1000 * 1000);
        slot.entry = createEntry(slot);
        listen(slot);
        onEntryChange.accept(slot.entry, ChangeCause.ADDED);
    }
}
