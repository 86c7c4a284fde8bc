package baymoor.cli;

import baymoor.knowledge.data.Knowledge;
import baymoor.knowledge.data.Knowledge.Host;
import baymoor.knowledge.data.Knowledge.Key;
import baymoor.knowledge.file.Store;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor knowledge}. */
@Command(
        name = "knowledge",
        mixinStandardHelpOptions = true,
        description = "Look at what an instance has written down of what it learned.",
        subcommands = {KnowledgeCommand.Show.class, KnowledgeCommand.Verify.class, KnowledgeCommand.Diff.class})
final class KnowledgeCommand implements Runnable {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
    }

    private static Knowledge read(Path file) {
        try {
            return Store.read(file);
        } catch (IOException e) {
            throw new Failed(
                    file + ": " + (e instanceof java.nio.file.NoSuchFileException ? "no such file" : e.getMessage()));
        }
    }

    private static String time(long millis) {
        return millis == 0 ? "long ago" : Instant.ofEpochMilli(millis).toString();
    }

    private static String id(long id) {
        return HexFormat.of().toHexDigits(id);
    }

    private static String line(Host h) {
        return String.format(
                Locale.ROOT,
                "%s  since %-24s  learned %-24s  support %7.1f  %8.1f ms  limit %6.1f  failing %3.0f%%%s",
                id(h.id()),
                time(h.since()),
                time(h.learnedAt()),
                h.support(),
                h.latencyMicros() / 1e3,
                h.limit(),
                100 * h.failing(),
                h.out() ? "  out of use" : "");
    }

    private static String line(Key k) {
        return String.format(
                Locale.ROOT,
                "%s  learned %-24s  support %7.1f  %8.2f/s",
                id(k.key()),
                time(k.learnedAt()),
                k.support(),
                k.rate());
    }

    /** {@code baymoor knowledge show}. */
    @Command(name = "show", mixinStandardHelpOptions = true, description = "Print a file of knowledge as a table.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        private Path file;

        @Option(names = "--json", description = "Print JSON instead.")
        private boolean json;

        @Override
        public Integer call() throws IOException {
            Knowledge k = read(file);
            PrintWriter out = spec.commandLine().getOut();
            if (json) {
                out.println(new ObjectMapper()
                        .enable(SerializationFeature.INDENT_OUTPUT)
                        .writeValueAsString(k));
                return 0;
            }
            out.printf(
                    Locale.ROOT,
                    "learned by %s, which had run for %.1f s; taken at %s%n",
                    k.instance(),
                    k.upFor() / 1e3,
                    time(k.takenAt()));
            if (k.origin() != null) {
                out.printf(
                        Locale.ROOT,
                        "origin: %.1f fetches a second, quick in %.1f ms, support %.1f, learned %s%n",
                        k.origin().perSecond(),
                        k.origin().quickMicros() / 1e3,
                        k.origin().support(),
                        time(k.origin().learnedAt()));
            }
            out.println(k.hosts().size() + " hosts");
            k.hosts().forEach(h -> out.println("  " + line(h)));
            out.println(k.keys().size() + " popular keys");
            k.keys().forEach(key -> out.println("  " + line(key)));
            return 0;
        }
    }

    /** {@code baymoor knowledge verify}. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Say of each file whether it is whole. Exit code 1 if one is not.")
    static final class Verify implements Callable<Integer> {
        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files;

        @Override
        public Integer call() {
            int bad = 0;
            for (Path file : files) {
                try {
                    Knowledge k = read(file);
                    spec.commandLine()
                            .getOut()
                            .printf(
                                    "%s: whole: %d hosts, %d keys, taken at %s%n",
                                    file, k.hosts().size(), k.keys().size(), time(k.takenAt()));
                } catch (Failed e) {
                    bad++;
                    spec.commandLine().getErr().println(e.getMessage());
                }
            }
            return bad == 0 ? 0 : 1;
        }
    }

    /** {@code baymoor knowledge diff}. */
    @Command(
            name = "diff",
            mixinStandardHelpOptions = true,
            description = "Print what one file knows otherwise than another. Exit code 1 if they differ.")
    static final class Diff implements Callable<Integer> {
        @Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "FROM")
        private Path from;

        @Parameters(index = "1", paramLabel = "TO")
        private Path to;

        @Override
        public Integer call() {
            Knowledge a = read(from);
            Knowledge b = read(to);
            PrintWriter out = spec.commandLine().getOut();
            int different = lines(out, "host ", a.hosts(), b.hosts(), Host::id, KnowledgeCommand::line)
                    + lines(out, "key  ", a.keys(), b.keys(), Key::key, KnowledgeCommand::line);
            if (!Objects.equals(a.origin(), b.origin())) {
                out.println("- origin " + a.origin());
                out.println("+ origin " + b.origin());
                different++;
            }
            return different == 0 ? 0 : 1;
        }

        private static <T> int lines(
                PrintWriter out, String what, List<T> a, List<T> b, ToLongFunction<T> id, Function<T, String> text) {
            TreeMap<Long, T> before = new TreeMap<>();
            TreeMap<Long, T> after = new TreeMap<>();
            a.forEach(x -> before.put(id.applyAsLong(x), x));
            b.forEach(x -> after.put(id.applyAsLong(x), x));
            TreeMap<Long, T> all = new TreeMap<>(before);
            all.putAll(after);
            int different = 0;
            for (Long key : all.keySet()) {
                T x = before.get(key);
                T y = after.get(key);
                if (!Objects.equals(x, y)) {
                    different++;
                    if (x != null) {
                        out.println("- " + what + text.apply(x));
                    }
                    if (y != null) {
                        out.println("+ " + what + text.apply(y));
                    }
                }
            }
            return different;
        }
    }
}
