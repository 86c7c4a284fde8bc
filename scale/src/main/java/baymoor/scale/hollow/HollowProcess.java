package baymoor.scale.hollow;

import baymoor.link.Address;
import baymoor.scale.loop.DecisionLoop;
import baymoor.scale.loop.RunClock;
import baymoor.scale.loop.Work;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.management.OperatingSystemMXBean;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.Consumer;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/**
 * A process of many hollow balancers. It takes orders on standard input, answers on standard output, and ends when its input
 * does: so it never outlives the run that started it.
 */
public final class HollowProcess {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long STATUS_MILLIS = 250;
    private static final long AGES_MICROS = 250_000;
    private static final long LONGEST_AGE_MICROS = 600_000_000;
    private static final double MICROS_A_MILLI = 1e3;
    private static final int USAGE = 2;

    /** The balancers of one decision thread. */
    private static final class Group {
        private final DecisionLoop loop;
        private final PlaceNetwork network;
        private final List<HollowBalancer> balancers = new ArrayList<>();
        private final Histogram ages = new Histogram(LONGEST_AGE_MICROS, 2);
        private final Histogram realAges = new Histogram(LONGEST_AGE_MICROS, 2);
        private final boolean[] absent;
        private boolean sampling;

        /** @param balancers of the whole tier */
        Group(DecisionLoop loop, PlaceNetwork network, int balancers) {
            this.loop = loop;
            this.network = network;
            absent = new boolean[balancers];
        }

        /** Looks how old what each balancer knows of each other one is. */
        void sampleAges() {
            long now = loop.clock().micros();
            for (HollowBalancer balancer : balancers) {
                Traffic traffic = balancer.traffic();
                if (!absent[balancer.number()]) {
                    note(ages, traffic.heardMicros, now);
                    note(realAges, traffic.toRealMicros, now);
                }
            }
        }

        private void note(Histogram histogram, long[] times, long now) {
            for (int other = 0; other < times.length; other++) {
                if (times[other] != 0 && !absent[other]) {
                    histogram.recordValue(Math.min(LONGEST_AGE_MICROS, Math.max(0, now - times[other])));
                }
            }
        }
    }

    private final Assignment assignment;
    private final PrintStream out;
    private final RunClock clock;
    private final List<Group> groups = new ArrayList<>();

    private HollowProcess(Assignment assignment, PrintStream out) throws IOException {
        this.assignment = assignment;
        this.out = out;
        clock = new RunClock(assignment.slowdown());
        Consumer<String> log = line -> System.err.println(line);
        List<InetSocketAddress> addresses =
                assignment.addresses().stream().map(Address::parse).toList();
        Map<InetSocketAddress, Integer> numbers = new HashMap<>();
        for (int number = 0; number < addresses.size(); number++) {
            numbers.put(addresses.get(number), number);
        }
        double[] popularity = DrawnWorld.popularity(
                assignment.drawn().keys(), assignment.drawn().exponent());
        Group group = null;
        for (int number : assignment.numbers()) {
            if (group == null || group.balancers.size() >= assignment.perLoop()) {
                group = new Group(
                        new DecisionLoop("decisions-" + groups.size(), clock, log),
                        new PlaceNetwork(assignment, assignment.seed() * 31 + number),
                        assignment.balancers());
                groups.add(group);
            }
            group.balancers.add(new HollowBalancer(
                    number,
                    group.loop,
                    new HollowBalancer.Surroundings(assignment, clock, group.network, addresses, numbers, log),
                    new DrawnWorld(
                            assignment.drawn(),
                            assignment.zones().get(number),
                            assignment.seed() * 1_000_003 + number,
                            popularity)));
        }
    }

    /** Runs until standard input ends. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1) {
            System.err.println("usage: HollowProcess ASSIGNMENT");
            System.exit(USAGE);
        }
        Assignment assignment = JSON.readValue(Path.of(args[0]).toFile(), Assignment.class);
        new HollowProcess(assignment, System.out).serve();
        System.exit(0);
    }

    private void serve() throws IOException {
        groups.forEach(group -> group.loop.start());
        Thread status = new Thread(this::tellStatus, "status");
        status.setDaemon(true);
        status.start();
        BufferedReader orders = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = orders.readLine(); line != null; line = orders.readLine()) {
            Command command = JSON.readValue(line, Command.class);
            if (command.order() == Command.Order.QUIT) {
                return;
            }
            carryOut(command);
        }
    }

    private void carryOut(Command command) throws IOException {
        switch (command.order()) {
            case START -> eachBalancer(HollowBalancer::start);
            case ASK -> eachBalancer(HollowBalancer::ask);
            case RESET -> eachGroup(this::reset);
            case SAMPLE -> say(sample(command.on()));
            case CUT -> eachGroup(group -> group.network.cut(command.from(), command.to(), command.on()));
            case LOSE -> eachGroup(group -> group.network.lose(command.value()));
            case ORIGIN_LOAD -> eachBalancer(balancer -> balancer.world().originLoad(command.value()));
            case KILL -> {
                mark(command.numbers(), true);
                some(command.numbers(), HollowBalancer::kill);
            }
            case REVIVE -> {
                mark(command.numbers(), false);
                some(command.numbers(), HollowProcess::revive);
            }
            default -> throw new IllegalStateException("not an order to carry out: " + command.order());
        }
    }

    private void eachGroup(Consumer<Group> task) {
        groups.forEach(group -> group.loop.post(() -> task.accept(group)));
    }

    private void eachBalancer(Consumer<HollowBalancer> task) {
        for (Group group : groups) {
            for (HollowBalancer balancer : group.balancers) {
                group.loop.post(() -> task.accept(balancer));
            }
        }
    }

    private static void revive(HollowBalancer balancer) {
        balancer.start();
        balancer.ask();
    }

    /** Ages of what is known of balancers that don't run tell nothing. */
    private void mark(List<Integer> numbers, boolean absent) {
        eachGroup(group -> numbers.forEach(number -> group.absent[number] = absent));
    }

    private void some(List<Integer> numbers, Consumer<HollowBalancer> task) {
        eachBalancer(balancer -> {
            if (numbers.contains(balancer.number())) {
                task.accept(balancer);
            }
        });
    }

    private void reset(Group group) {
        group.ages.reset();
        group.realAges.reset();
        group.loop.resetLateness();
        group.balancers.forEach(balancer -> balancer.known().clear());
        if (!group.sampling) {
            group.sampling = true;
            sampleAges(group);
        }
    }

    private void sampleAges(Group group) {
        group.loop.after(AGES_MICROS, Work.TOOL, () -> {
            group.sampleAges();
            sampleAges(group);
        });
    }

    private void tellStatus() {
        try {
            while (true) {
                Thread.sleep(STATUS_MILLIS);
                say(status());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            System.exit(1); // nobody listens any more
        }
    }

    private Status status() throws InterruptedException {
        int running = 0;
        int listed = 0;
        int heardAll = 0;
        long fetches = 0;
        long version = Long.MAX_VALUE;
        for (Status part : ask(this::status)) {
            running += part.running();
            listed += part.listed();
            heardAll += part.heardAll();
            fetches += part.fetches();
            version = Math.min(version, part.version());
        }
        return new Status(running, listed, heardAll, version, fetches);
    }

    private Status status(Group group) {
        return new Status(
                (int) group.balancers.stream().filter(b -> b.version() > 0).count(),
                (int) group.balancers.stream().filter(HollowBalancer::listed).count(),
                (int) group.balancers.stream().filter(HollowBalancer::heardAll).count(),
                group.balancers.stream()
                        .mapToLong(HollowBalancer::version)
                        .filter(version -> version > 0)
                        .min()
                        .orElse(Long.MAX_VALUE),
                group.balancers.stream().mapToLong(b -> b.world().fetches()).sum());
    }

    /** Asks each decision thread for something and waits for all answers. */
    private <T> List<T> ask(Function<Group, T> question) throws InterruptedException {
        List<FutureTask<T>> tasks = new ArrayList<>();
        for (Group group : groups) {
            FutureTask<T> task = new FutureTask<>(() -> question.apply(group));
            tasks.add(task);
            group.loop.post(task);
        }
        List<T> answers = new ArrayList<>();
        for (FutureTask<T> task : tasks) {
            try {
                answers.add(task.get());
            } catch (ExecutionException e) {
                throw new IllegalStateException(e.getCause());
            }
        }
        return answers;
    }

    private Totals sample(boolean collect) {
        try {
            Sum sum = new Sum(assignment.real());
            ask(group -> {
                sum.add(group);
                return null;
            });
            long cpu = ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
            long heap = 0;
            if (collect) {
                System.gc();
                heap = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
            }
            return sum.totals(clock, cpu, heap);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized void say(Object what) throws IOException {
        String kind = what.getClass().getSimpleName();
        out.println(JSON.writeValueAsString(Map.of(kind, what)));
        out.flush();
        if (out.checkError()) {
            throw new IOException("standard output is closed");
        }
    }

    /** Adds up what the decision threads tell, one after another. */
    private static final class Sum {
        private final long[] nanos = new long[Work.values().length];
        private final Traffic traffic;
        private final Histogram ages = new Histogram(LONGEST_AGE_MICROS, 2);
        private final Histogram realAges = new Histogram(LONGEST_AGE_MICROS, 2);
        private final Histogram lateness = new Histogram(LONGEST_AGE_MICROS, 2);
        private final Map<String, Long> asked = new TreeMap<>();
        private final List<Totals.KnownVersion> known = new ArrayList<>();
        private int balancers;
        private long requests;
        private long answers;
        private long refusals;
        private long fetches;
        private long failures;
        private long unsent;

        Sum(int real) {
            traffic = new Traffic(0, real);
        }

        synchronized void add(Group group) {
            long[] spent = group.loop.spentNanos();
            for (int kind = 0; kind < spent.length; kind++) {
                nanos[kind] += spent[kind];
            }
            ages.add(group.ages);
            realAges.add(group.realAges);
            lateness.add(group.loop.lateness());
            group.balancers.forEach(this::add);
        }

        private void add(HollowBalancer balancer) {
            balancers++;
            DrawnWorld world = balancer.world();
            requests += world.requests();
            answers += world.answers();
            refusals += world.refusals();
            fetches += world.fetches();
            failures += balancer.failures();
            unsent += balancer.unsent();
            world.asked()
                    .forEach((router, count) -> asked.merge(
                            router.getAddress().getHostAddress() + ":" + router.getPort(), count, Long::sum));
            balancer.known()
                    .forEach(k -> known.add(new Totals.KnownVersion(balancer.number(), k.version(), k.atMicros())));
            traffic.add(balancer.traffic());
        }

        Totals totals(RunClock clock, long cpuNanos, long heapBytes) {
            return new Totals(
                    clock.micros(),
                    balancers,
                    traffic.messagesIn,
                    traffic.messagesOut,
                    traffic.bytesIn,
                    traffic.bytesOut,
                    traffic.discoveryBytesIn,
                    traffic.discoveryBytesOut,
                    traffic.discoveryReads,
                    traffic.ticks,
                    traffic.tickNanos,
                    nanos[Work.CONTROL.ordinal()],
                    nanos[Work.SERVING.ordinal()],
                    nanos[Work.TOOL.ordinal()],
                    cpuNanos,
                    heapBytes,
                    requests,
                    answers,
                    refusals,
                    fetches,
                    failures,
                    unsent,
                    millis(ages, 50),
                    millis(ages, 99),
                    millis(realAges, 50),
                    millis(realAges, 99),
                    millis(lateness, 99),
                    asked,
                    list(traffic.realMessages),
                    list(traffic.realBytes),
                    list(traffic.toRealMessages),
                    known);
        }

        private static double millis(Histogram histogram, double percent) {
            return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percent) / MICROS_A_MILLI;
        }

        private static List<Long> list(long[] values) {
            return Arrays.stream(values).boxed().toList();
        }
    }
}
