package baymoor.scale.run;

import baymoor.scale.hollow.Assignment;
import baymoor.scale.hollow.Command;
import baymoor.scale.hollow.HollowProcess;
import baymoor.scale.hollow.Status;
import baymoor.scale.hollow.Totals;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** The processes of the hollow balancers. Each ends when its standard input does, also where this program is killed. */
final class HollowFleet {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BASE_MEGABYTES = 96;
    private static final long END_SECONDS = 3;
    private static final long ANSWER_SECONDS = 60;

    private final List<Child> children = new ArrayList<>();

    /** One process of hollow balancers. */
    private static final class Child {
        private final Process process;
        private final List<Integer> numbers;
        private final OutputStream orders;
        private final BlockingQueue<Totals> totals = new ArrayBlockingQueue<>(16);
        private volatile Status status = Status.NONE;
        private volatile int ordered;

        Child(Process process, List<Integer> numbers) {
            this.process = process;
            this.numbers = numbers;
            orders = process.getOutputStream();
            Thread reader = new Thread(this::read, "hollow-" + process.pid());
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    JsonNode said = JSON.readTree(line);
                    if (said.has("Status")) {
                        status = JSON.treeToValue(said.get("Status"), Status.class);
                    } else if (said.has("Totals")) {
                        totals.add(JSON.treeToValue(said.get("Totals"), Totals.class));
                    }
                }
            } catch (IOException e) {
                // It has ended; whoever waits for its answer notices.
            }
        }

        synchronized void order(Command command) throws IOException {
            orders.write((JSON.writeValueAsString(command) + "\n").getBytes(StandardCharsets.UTF_8));
            orders.flush();
            ordered++;
        }

        Totals sample(boolean collect) throws IOException, InterruptedException {
            order(Command.sample(collect));
            Totals answer = totals.poll(ANSWER_SECONDS, TimeUnit.SECONDS);
            if (answer == null) {
                throw new IOException("a process of hollow balancers doesn't answer");
            }
            return answer;
        }
    }

    /** Starts a process with some balancers. */
    void start(Assignment assignment, Path file, Path log, int megabytesEach) throws IOException {
        JSON.writeValue(file.toFile(), assignment);
        int megabytes = BASE_MEGABYTES + megabytesEach * assignment.numbers().size();
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx" + megabytes + "m",
                // As the serving program is started, so that the same code costs the same.
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xss512k",
                "-Djava.net.preferIPv4Stack=true",
                "-cp",
                System.getProperty("java.class.path"),
                HollowProcess.class.getName(),
                file.toString());
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        children.add(new Child(process, assignment.numbers()));
    }

    /** Gives an order to all. */
    void order(Command command) throws IOException {
        for (Child child : children) {
            child.order(command);
        }
    }

    /** The sum of what all told last; the version is the lowest. */
    Status status() {
        return children.stream().map(child -> child.status).reduce(Status.NONE, Status::plus);
    }

    /** How many orders each process was given so far. */
    List<Integer> ordered() {
        return children.stream().map(child -> child.ordered).toList();
    }

    /** Whether what each process told last was after so many orders. */
    boolean statusAfter(List<Integer> orders) {
        return IntStream.range(0, orders.size())
                .allMatch(i -> children.get(i).status.orders() >= orders.get(i));
    }

    /** What each process came to so far. */
    List<Totals> sample(boolean collect) throws IOException, InterruptedException {
        List<Totals> all = new ArrayList<>();
        for (Child child : children) {
            all.add(child.sample(collect));
        }
        return all;
    }

    /** Whether one of them has ended. */
    boolean anyEnded() {
        return children.stream().anyMatch(child -> !child.process.isAlive());
    }

    List<Long> pids() {
        return children.stream().map(child -> child.process.pid()).toList();
    }

    /** Ends all of them and waits until they are gone. */
    void close() throws InterruptedException {
        for (Child child : children) {
            try {
                child.orders.close();
            } catch (IOException e) {
                // It has ended already.
            }
        }
        for (Child child : children) {
            if (!child.process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                child.process.destroyForcibly().waitFor();
            }
        }
    }
}
