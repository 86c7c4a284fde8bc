package baymoor.scale.fit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads the JSON results of {@code baymoor scale run}; refuses runs that were not valid. */
public final class ResultReader {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> SIZES =
            List.of("balancers", "routers", "sites", "requestsPerSecond", "keys", "changesPerSecond");

    private ResultReader() {}

    /** Reads one result. */
    public static Result read(Path file) throws BadResult {
        JsonNode root = parse(file);
        JsonNode valid = root.path("valid");
        if (!valid.isBoolean()) {
            throw new BadResult(file + ": valid is missing or no boolean");
        }
        if (!valid.asBoolean()) {
            throw new BadResult(file + ": the run is not valid" + reasons(root.path("reasons")));
        }
        JsonNode size = root.path("size");
        for (String name : SIZES) {
            if (!isAmount(size.path(name))) {
                throw new BadResult(file + ": size." + name + " is missing or no number of 0 or more");
            }
        }
        if (size.path("balancers").asDouble() < 1) {
            throw new BadResult(file + ": size.balancers is under 1");
        }
        Map<Dimension, Double> dimensions = new EnumMap<>(Dimension.class);
        for (Dimension dimension : Dimension.values()) {
            dimensions.put(dimension, dimension.of(size));
        }
        return new Result(file.toString(), root.path("seed").asLong(), dimensions, figures(file, root.path("hollow")));
    }

    private static JsonNode parse(Path file) throws BadResult {
        JsonNode root;
        try {
            root = JSON.readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new BadResult(file + ": no JSON: "
                    + e.getOriginalMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new BadResult(file + ": can't be read");
        }
        if (!root.isObject()) {
            throw new BadResult(file + ": no JSON object");
        }
        return root;
    }

    private static TreeMap<String, Double> figures(Path file, JsonNode hollow) throws BadResult {
        TreeMap<String, Double> figures = new TreeMap<>();
        for (Map.Entry<String, JsonNode> field : hollow.properties()) {
            if (field.getValue().isNull()) {
                continue; // not measured in this run
            }
            if (!field.getValue().isNumber()
                    || !Double.isFinite(field.getValue().asDouble())) {
                throw new BadResult(file + ": hollow." + field.getKey() + " is no number");
            }
            figures.put(field.getKey(), field.getValue().asDouble());
        }
        if (figures.isEmpty()) {
            throw new BadResult(file + ": hollow is missing or empty");
        }
        return figures;
    }

    private static boolean isAmount(JsonNode node) {
        return node.isNumber() && Double.isFinite(node.asDouble()) && node.asDouble() >= 0;
    }

    private static String reasons(JsonNode reasons) {
        List<String> texts = new ArrayList<>();
        reasons.forEach(reason -> texts.add(reason.asText()));
        return texts.isEmpty() ? "" : ": " + String.join("; ", texts);
    }
}
