package baymoor.south;

import java.util.List;
import org.json.JSONException;
import org.json.JSONObject;

/** Parser of a load report: a JSON object, or a list of {@code name=value} separated by commas. */
final class LoadReport {

    private static final double[] NO_REPORT = new double[0];

    private LoadReport() {}

    /**
     * Parses a load report.
     *
     * @param text   may be null
     * @param fields names of the values to return
     * @return the values in the order of {@code fields}, 0 for a missing one; empty if there is no valid report
     */
    static double[] parse(String text, List<String> fields) {
        if (text == null || text.isBlank() || fields.isEmpty()) {
            return NO_REPORT;
        }
        try {
            JSONObject values = new JSONObject();
            if (text.startsWith("{")) {
                values = new JSONObject(text);
            } else {
                for (String pair : text.split(",")) {
                    int equals = pair.indexOf('=');
                    values.put(
                            pair.substring(0, Math.max(0, equals)).trim(),
                            pair.substring(equals + 1).trim());
                }
            }
            double[] report = new double[fields.size()];
            for (int i = 0; i < report.length; i++) {
                report[i] = values.optDouble(fields.get(i), 0);
            }
            return report;
        } catch (JSONException e) {
            return NO_REPORT;
        }
    }
}
