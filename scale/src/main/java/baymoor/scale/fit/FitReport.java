package baymoor.scale.fit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The fits and the predictions of other runs, as a table for people and as JSON. */
public record FitReport(List<FigureFit> fits, List<FigureFit.Prediction> predictions, double bound) {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DIGITS = 4;

    /**
     * Predicts every run in {@code others} by the fits.
     *
     * @param bound the greatest part of a measured figure by which a prediction may be off
     */
    public static FitReport of(List<FigureFit> fits, List<Result> others, double bound) {
        List<FigureFit.Prediction> predictions = new ArrayList<>();
        for (FigureFit fit : fits) {
            for (Result other : others) {
                if (other.has(fit.figure())) {
                    predictions.add(fit.predict(other));
                }
            }
        }
        return new FitReport(fits, predictions, bound);
    }

    /** Whether no prediction is off by more than the bound. */
    public boolean withinBound() {
        return predictions.stream().allMatch(this::within);
    }

    private boolean within(FigureFit.Prediction prediction) {
        return Math.abs(prediction.error()) <= bound;
    }

    /** The slopes, then measured and predicted figures. */
    public String table() {
        List<String> lines = new ArrayList<>();
        lines.add("figure | model | intercept | slopes (95% interval) | residual | left out: linear, quadratic");
        fits.forEach(fit -> lines.add(line(fit)));
        if (!predictions.isEmpty()) {
            lines.add("");
            lines.add("figure | balancers | measured | predicted | error | within " + percent(bound) + " | run");
            predictions.forEach(prediction -> lines.add(line(prediction)));
        }
        return String.join("\n", lines);
    }

    private static String line(FigureFit fit) {
        List<String> slopes = new ArrayList<>();
        for (FigureFit.Slope slope : fit.slopes()) {
            slopes.add(number(slope.value()) + " ± " + number(slope.interval()) + " by "
                    + slope.dimension().label());
        }
        return String.join(
                " | ",
                fit.figure(),
                fit.quadratic() ? "quadratic" : "linear",
                number(fit.intercept()) + " ± " + number(fit.interceptInterval()),
                String.join(", ", slopes),
                percent(fit.residualError()),
                percent(fit.linearLeaveOneOutError()) + ", " + percent(fit.quadraticLeaveOneOutError()));
    }

    private String line(FigureFit.Prediction prediction) {
        return String.join(
                " | ",
                prediction.figure(),
                number(prediction.balancers()),
                number(prediction.measured()),
                number(prediction.predicted()),
                percent(prediction.error()),
                within(prediction) ? "yes" : "NO",
                prediction.file());
    }

    /** All figures in full precision. */
    public ObjectNode json() {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode figures = root.putObject("figures");
        for (FigureFit fit : fits) {
            ObjectNode node = figures.putObject(fit.figure());
            node.put("model", fit.quadratic() ? "quadratic" : "linear");
            node.put("runs", fit.runs());
            node.put("intercept", fit.intercept());
            node.put("interceptInterval", fit.interceptInterval());
            node.put("residualError", fit.residualError());
            node.put("linearLeaveOneOutError", fit.linearLeaveOneOutError());
            if (!Double.isNaN(fit.quadraticLeaveOneOutError())) {
                node.put("quadraticLeaveOneOutError", fit.quadraticLeaveOneOutError());
            }
            ObjectNode slopes = node.putObject("slopes");
            for (FigureFit.Slope slope : fit.slopes()) {
                slopes.putObject(slope.dimension().label())
                        .put("value", slope.value())
                        .put("interval", slope.interval());
            }
        }
        ArrayNode rows = root.putArray("predictions");
        for (FigureFit.Prediction prediction : predictions) {
            rows.addObject()
                    .put("figure", prediction.figure())
                    .put("balancers", prediction.balancers())
                    .put("measured", prediction.measured())
                    .put("predicted", prediction.predicted())
                    .put("error", prediction.error())
                    .put("within", within(prediction))
                    .put("run", prediction.file());
        }
        return root;
    }

    private static String percent(double part) {
        return String.format(Locale.ROOT, "%.1f%%", 100 * part);
    }

    private static String number(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e9) {
            return String.valueOf((long) value);
        }
        return String.format(Locale.ROOT, "%." + DIGITS + "g", value);
    }
}
