package baymoor.emulator.judge;

import java.util.List;

/**
 * A violation of a rule.
 *
 * @param rule     the violated rule
 * @param atMicros microseconds since the start of the run
 * @param request  id of the request; empty if no single request is concerned
 * @param what     description of the violation
 * @param last     the most recent steps of the request, one line each
 */
public record Broken(Rule rule, long atMicros, String request, String what, List<String> last) {

    public Broken {
        last = List.copyOf(last);
    }

    /** Returns a readable description: one line, followed by one for each step of the request. */
    public String text() {
        StringBuilder text = new StringBuilder(rule + " violated at " + atMicros + " us"
                + (request.isEmpty() ? "" : " by request " + request) + ": " + what);
        last.forEach(step -> text.append("\n    ").append(step));
        return text.toString();
    }
}
