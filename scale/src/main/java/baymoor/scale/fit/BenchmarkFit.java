package baymoor.scale.fit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.stat.StatUtils;
import org.apache.commons.math3.stat.correlation.PearsonsCorrelation;

/**
 * Fits what one event costs the decision module, time and bytes allocated, to the size of the tier, from JMH's JSON results.
 * Terms are those of balancers, routers, routers that each message reports, reported loads (balancers times these) and keys in
 * which a benchmark's sizes differ, unless they go along with another term.
 */
public final class BenchmarkFit {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ALLOCATED = "gc.alloc.rate.norm";
    private static final String PROCESSOR_TIME = "cpu.norm";
    private static final int SIZE_PARTS = 3;
    /** The most of a term against its least from which on a slope by it means something. */
    private static final double MEANT = 1.5;
    /** The correlation of two terms above which the sizes don't tell their slopes apart. */
    private static final double INSEPARABLE = 0.99;

    private enum Term {
        BALANCERS,
        REPORTED_LOADS,
        ROUTERS,
        REPORTED_BY_EACH,
        KEYS;

        private String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** A measured value at a size. */
    private record Sample(double[] size, double value) {
        double balancers() {
            return size[Term.BALANCERS.ordinal()];
        }
    }

    /** A cost of one benchmark, fitted; {@code terms} are the fit's columns. */
    private record Cost(String name, List<Term> terms, LeastSquares fit, int samples) {}

    /** The mean cost at a size that the fit left out, and what it predicts there. */
    private record Prediction(String cost, String size, double measured, double predicted) {
        double error() {
            return predicted / measured - 1;
        }
    }

    private final List<Cost> costs = new ArrayList<>();
    private final List<Prediction> predictions = new ArrayList<>();
    private final double mostBalancers;

    private BenchmarkFit(Path file, JsonNode results, double mostBalancers) throws BadResult {
        this.mostBalancers = mostBalancers;
        Map<String, List<Sample>> samples = new TreeMap<>();
        for (JsonNode result : results) {
            double[] size = size(file, result.path("params"));
            String benchmark = name(result.path("benchmark").asText());
            addMicros(file, samples, benchmark, result, size);
            JsonNode allocated = result.path("secondaryMetrics").path(ALLOCATED).path("score");
            if (allocated.isNumber()) {
                add(samples, benchmark + " bytes allocated", size, allocated.asDouble());
            }
        }
        samples.forEach(this::fit);
        if (costs.isEmpty()) {
            throw new BadResult(file + ": no benchmark with sizes enough for a fit");
        }
    }

    /** Reads JMH's results and fits them all, with a slope for each term, whether or not it differs from 0. */
    public static BenchmarkFit of(Path file) throws BadResult {
        return upTo(file, Double.MAX_VALUE);
    }

    /**
     * Reads JMH's results, fits those of at most so many balancers, and predicts the larger ones. Terms that don't differ from 0
     * with 99% confidence are left out, as they would carry noise to the larger sizes.
     */
    public static BenchmarkFit upTo(Path file, double mostBalancers) throws BadResult {
        JsonNode results;
        try {
            results = JSON.readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new BadResult(file + ": no JSON");
        } catch (IOException e) {
            throw new BadResult(file + ": can't be read");
        }
        if (!results.isArray()) {
            throw new BadResult(file + ": no JSON array of benchmarks");
        }
        return new BenchmarkFit(file, results, mostBalancers);
    }

    /** Processor time where it was measured, else time on the clock, of each iteration. */
    private static void addMicros(
            Path file, Map<String, List<Sample>> samples, String benchmark, JsonNode result, double[] size)
            throws BadResult {
        JsonNode processor = result.path("secondaryMetrics").path(PROCESSOR_TIME);
        JsonNode metric = processor.isMissingNode() ? result.path("primaryMetric") : processor;
        if (!"us/op".equals(metric.path("scoreUnit").asText())) {
            throw new BadResult(file + ": " + benchmark + " is not in us/op");
        }
        for (JsonNode fork : metric.path("rawData")) {
            fork.forEach(value -> add(samples, benchmark + " micros", size, value.asDouble()));
        }
    }

    private static void add(Map<String, List<Sample>> samples, String cost, double[] size, double value) {
        samples.computeIfAbsent(cost, name -> new ArrayList<>()).add(new Sample(size, value));
    }

    private static String name(String qualified) {
        String[] parts = qualified.split("\\.");
        return parts[parts.length - 1];
    }

    private static double[] size(Path file, JsonNode params) throws BadResult {
        String[] parts = params.path("size").asText().split("x");
        try {
            if (parts.length == SIZE_PARTS) {
                double balancers = Integer.parseInt(parts[0]);
                double[] size = new double[Term.values().length];
                size[Term.BALANCERS.ordinal()] = balancers;
                size[Term.ROUTERS.ordinal()] = Integer.parseInt(parts[1]);
                size[Term.REPORTED_BY_EACH.ordinal()] = Integer.parseInt(parts[2]);
                size[Term.REPORTED_LOADS.ordinal()] = balancers * Integer.parseInt(parts[2]);
                size[Term.KEYS.ordinal()] = params.path("keys").asDouble(0);
                return size;
            }
        } catch (NumberFormatException e) {
            // told below, like a size of too few parts
        }
        throw new BadResult(file + ": a benchmark's size is not BALANCERSxROUTERSxREPORTED");
    }

    private void fit(String cost, List<Sample> all) {
        List<Sample> samples = all.stream()
                .filter(sample -> sample.balancers() <= mostBalancers)
                .toList();
        List<Term> terms = new ArrayList<>();
        LeastSquares fit = null;
        for (Term term : Term.values()) {
            List<Term> longer = new ArrayList<>(terms);
            longer.add(term);
            LeastSquares extended = separable(term, terms, samples) ? fit(longer, samples) : null;
            if (extended != null && (!predicting() || extended.certain(terms.size()))) {
                terms = longer;
                fit = extended;
            }
        }
        if (fit != null) {
            costs.add(new Cost(cost, terms, fit, samples.size()));
            predict(costs.get(costs.size() - 1), all);
        }
    }

    private boolean predicting() {
        return mostBalancers < Double.MAX_VALUE;
    }

    private void predict(Cost cost, List<Sample> all) {
        Map<String, List<Sample>> larger = new LinkedHashMap<>();
        for (Sample sample : all) {
            if (sample.balancers() > mostBalancers) {
                larger.computeIfAbsent(label(sample.size()), size -> new ArrayList<>())
                        .add(sample);
            }
        }
        larger.forEach((size, samples) -> {
            double measured =
                    samples.stream().mapToDouble(Sample::value).average().orElseThrow();
            double predicted =
                    cost.fit().predict(row(cost.terms(), samples.get(0).size()));
            predictions.add(new Prediction(cost.name(), size, measured, predicted));
        });
    }

    private static String label(double[] size) {
        String text = String.format(
                Locale.ROOT,
                "%.0fx%.0fx%.0f",
                size[Term.BALANCERS.ordinal()],
                size[Term.ROUTERS.ordinal()],
                size[Term.REPORTED_BY_EACH.ordinal()]);
        double keys = size[Term.KEYS.ordinal()];
        return keys == 0 ? text : text + String.format(Locale.ROOT, ", %.0f keys", keys);
    }

    /** Whether the samples tell what a term does from what others do. */
    private static boolean separable(Term term, List<Term> others, List<Sample> samples) {
        double[] column = column(term, samples);
        if (samples.isEmpty() || StatUtils.max(column) < MEANT * StatUtils.min(column)) {
            return false;
        }
        PearsonsCorrelation correlation = new PearsonsCorrelation();
        return others.stream()
                .noneMatch(other -> correlation.correlation(column, column(other, samples)) > INSEPARABLE);
    }

    private static double[] column(Term term, List<Sample> samples) {
        return samples.stream()
                .mapToDouble(sample -> sample.size()[term.ordinal()])
                .toArray();
    }

    private static LeastSquares fit(List<Term> terms, List<Sample> samples) {
        double[][] predictors =
                samples.stream().map(sample -> row(terms, sample.size())).toArray(double[][]::new);
        return LeastSquares.fit(
                predictors, samples.stream().mapToDouble(Sample::value).toArray());
    }

    private static double[] row(List<Term> terms, double[] size) {
        return terms.stream().mapToDouble(term -> size[term.ordinal()]).toArray();
    }

    /** The slopes, one line a cost. */
    public String table() {
        List<String> lines = new ArrayList<>();
        lines.add("cost | intercept | slopes (95% interval) | residual");
        for (Cost cost : costs) {
            LeastSquares fit = cost.fit();
            List<String> slopes = new ArrayList<>();
            for (int i = 0; i < cost.terms().size(); i++) {
                slopes.add(String.format(
                        Locale.ROOT,
                        "%.4g ± %.2g by %s",
                        fit.slope(i),
                        fit.slopeInterval(i),
                        cost.terms().get(i).label()));
            }
            lines.add(String.format(
                    Locale.ROOT,
                    "%s | %.4g ± %.2g | %s | %.1f%%",
                    cost.name(),
                    fit.intercept(),
                    fit.interceptInterval(),
                    String.join(", ", slopes),
                    100 * fit.residualError()));
        }
        if (!predictions.isEmpty()) {
            lines.add("");
            lines.add("cost | size | measured | predicted | error");
        }
        for (Prediction prediction : predictions) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%s | %s | %.4g | %.4g | %.1f%%",
                    prediction.cost(),
                    prediction.size(),
                    prediction.measured(),
                    prediction.predicted(),
                    100 * prediction.error()));
        }
        return String.join("\n", lines);
    }

    /** All figures in full precision. */
    public ObjectNode json() {
        ObjectNode root = JSON.createObjectNode();
        for (Cost cost : costs) {
            LeastSquares fit = cost.fit();
            ObjectNode node = root.putObject(cost.name());
            node.put("samples", cost.samples());
            node.put("intercept", fit.intercept()).put("interceptInterval", fit.interceptInterval());
            node.put("residualError", fit.residualError());
            ObjectNode slopes = node.putObject("slopes");
            for (int i = 0; i < cost.terms().size(); i++) {
                slopes.putObject(cost.terms().get(i).label())
                        .put("value", fit.slope(i))
                        .put("interval", fit.slopeInterval(i));
            }
        }
        ArrayNode rows = predicting() ? root.putArray("predictions") : null;
        for (Prediction prediction : predictions) {
            rows.addObject()
                    .put("cost", prediction.cost())
                    .put("size", prediction.size())
                    .put("measured", prediction.measured())
                    .put("predicted", prediction.predicted())
                    .put("error", prediction.error());
        }
        return root;
    }
}
