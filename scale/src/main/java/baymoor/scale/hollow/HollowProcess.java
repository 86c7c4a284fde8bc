package baymoor.scale.hollow;

import baymoor.link.Address;
import baymoor.scale.loop.DecisionLoop;
import baymoor.scale.loop.RunClock;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A process of many hollow balancers. It takes orders on standard input, answers on standard output, and ends when its input
 * does: so it never outlives the run that started it.
 */
public final class HollowProcess {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long STATUS_MILLIS = 250;
    private static final int USAGE = 2;

    private final Assignment assignment;
    private final PrintStream out;
    private final RunClock clock;
    private final List<HollowGroup> groups = new ArrayList<>();
    /** Carried out so far. */
    private volatile int orders;

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
        HollowGroup group = null;
        for (int number : assignment.numbers()) {
            if (group == null || group.balancers().size() >= assignment.perLoop()) {
                group = new HollowGroup(
                        new DecisionLoop("decisions-" + groups.size(), clock, log),
                        new PlaceNetwork(assignment, assignment.seed() * 31 + number),
                        assignment.balancers());
                groups.add(group);
            }
            group.balancers()
                    .add(new HollowBalancer(
                            number,
                            group.loop(),
                            new HollowBalancer.Surroundings(
                                    assignment, clock, group.network(), addresses, numbers, log),
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
        groups.forEach(group -> group.loop().start());
        Thread status = new Thread(this::tellStatus, "status");
        status.setDaemon(true);
        status.start();
        BufferedReader lines = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            Command command = JSON.readValue(line, Command.class);
            if (command.order() == Command.Order.QUIT) {
                return;
            }
            carryOut(command);
            orders++;
        }
    }

    private void carryOut(Command command) throws IOException {
        switch (command.order()) {
            case START -> eachBalancer(HollowBalancer::start);
            case ASK -> eachBalancer(HollowBalancer::ask);
            case RESET -> eachGroup(HollowGroup::reset);
            case SAMPLE -> say(sample(command.on()));
            case CUT -> eachGroup(group -> group.network().cut(command.from(), command.to(), command.on()));
            case LOSE -> eachGroup(group -> group.network().lose(command.value()));
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

    private void eachGroup(Consumer<HollowGroup> task) {
        groups.forEach(group -> group.loop().post(() -> task.accept(group)));
    }

    private void eachBalancer(Consumer<HollowBalancer> task) {
        for (HollowGroup group : groups) {
            for (HollowBalancer balancer : group.balancers()) {
                group.loop().post(() -> task.accept(balancer));
            }
        }
    }

    private static void revive(HollowBalancer balancer) {
        balancer.start();
        balancer.ask();
    }

    private void mark(List<Integer> numbers, boolean absent) {
        eachGroup(group -> group.mark(numbers, absent));
    }

    private void some(List<Integer> numbers, Consumer<HollowBalancer> task) {
        eachBalancer(balancer -> {
            if (numbers.contains(balancer.number())) {
                task.accept(balancer);
            }
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
        int before = orders;
        return ask(HollowGroup::status).stream()
                .reduce(Status.NONE, Status::plus)
                .after(before);
    }

    /** Asks each decision thread for something and waits for all answers. */
    private <T> List<T> ask(Function<HollowGroup, T> question) throws InterruptedException {
        List<FutureTask<T>> tasks = new ArrayList<>();
        for (HollowGroup group : groups) {
            FutureTask<T> task = new FutureTask<>(() -> question.apply(group));
            tasks.add(task);
            group.loop().post(task);
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
            TotalsSum sum = new TotalsSum(assignment.real());
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
}
