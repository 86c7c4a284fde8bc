package baymoor.scale.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Recomputes the tables of {@code docs/CAPACITY.md} that begin with the columns name, formula and value. A formula is
 * arithmetic over numbers and the names of earlier rows, or points at a figure in a study: {@code FILE.json#/pointer}.
 * Where a table has the columns budget and share, the share is recomputed too.
 */
final class CapacityPage {

    /** How far a printed figure may be from the computed one, as a part of it. */
    private static final double ROUNDING = 0.006;

    private static final double HALF_A_PERCENT = 0.5;
    private static final String POINTER = "#/";
    private static final List<String> CALCULATED = List.of("name", "formula", "value");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path studies;
    private final Map<String, Double> values = new LinkedHashMap<>();
    private final List<String> mistakes = new ArrayList<>();

    private CapacityPage(Path studies) {
        this.studies = studies;
    }

    /** Recomputes a page whose figures point into a folder of studies. */
    static CapacityPage recompute(List<String> lines, Path studies) throws IOException {
        CapacityPage page = new CapacityPage(studies);
        List<String> header = List.of();
        for (String line : lines) {
            List<String> cells = cells(line);
            if (cells.isEmpty()) {
                header = List.of();
            } else if (header.isEmpty()) {
                header = cells;
            } else if (isCalculated(header) && !cells.get(0).startsWith("---")) {
                page.row(header, cells);
            }
        }
        return page;
    }

    private static boolean isCalculated(List<String> header) {
        return header.size() >= CALCULATED.size()
                && header.subList(0, CALCULATED.size()).equals(CALCULATED);
    }

    private static List<String> cells(String line) {
        String row = line.trim();
        if (!row.startsWith("|") || !row.endsWith("|")) {
            return List.of();
        }
        return Arrays.stream(row.substring(1, row.length() - 1).split("\\|"))
                .map(cell -> cell.replace("`", "").trim())
                .toList();
    }

    private void row(List<String> header, List<String> cells) throws IOException {
        String name = cells.get(0);
        if (cells.size() != header.size()) {
            mistakes.add(name + ": " + cells.size() + " cells under a header of " + header.size());
            return;
        }
        try {
            double computed = compute(cells.get(1));
            if (values.put(name, computed) != null) {
                mistakes.add(name + ": is there twice");
            }
            double printed = number(cells.get(2));
            if (!near(computed, printed)) {
                mistakes.add(name + ": the page has " + cells.get(2) + ", computed " + computed);
            }
            checkShare(header, cells, computed);
        } catch (Formula.BadFormula | NumberFormatException e) {
            mistakes.add(name + ": " + e.getMessage());
        }
    }

    private void checkShare(List<String> header, List<String> cells, double computed) {
        int budget = header.indexOf("budget");
        int share = header.indexOf("share");
        if (budget < 0 || share < 0 || cells.get(budget).equals("-")) {
            return;
        }
        double percent = 100 * computed / Formula.value(cells.get(budget), values);
        double printed = number(cells.get(share).replace("%", ""));
        if (!near(percent, printed) && Math.abs(percent - printed) > HALF_A_PERCENT) {
            mistakes.add(cells.get(0) + ": the share is " + percent + "%, the page has " + cells.get(share));
        }
    }

    private double compute(String formula) throws IOException {
        int pointer = formula.indexOf(POINTER);
        return pointer < 0 ? Formula.value(formula, values) : study(formula, pointer);
    }

    private double study(String reference, int pointer) throws IOException {
        Path file = studies.resolve(reference.substring(0, pointer));
        if (!Files.exists(file)) {
            throw new Formula.BadFormula(reference, "no such study");
        }
        JsonNode figure = JSON.readTree(file.toFile()).at(reference.substring(pointer + 1));
        if (!figure.isNumber()) {
            throw new Formula.BadFormula(reference, "no number there");
        }
        return figure.asDouble();
    }

    private static double number(String printed) {
        return Double.parseDouble(printed.replace(",", ""));
    }

    private static boolean near(double computed, double printed) {
        return Math.abs(computed - printed) <= ROUNDING * Math.abs(computed);
    }

    Map<String, Double> values() {
        return values;
    }

    List<String> mistakes() {
        return mistakes;
    }
}
