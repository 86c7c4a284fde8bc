package baymoor.emulator.judge;

import java.util.List;

/** A rule that broke: when (microseconds of the run), for which request, how, and the last that happened to it. */
public record Broken(Rule rule, long atMicros, String request, String what, List<String> last) {

    public Broken {
        last = List.copyOf(last);
    }

    /** For people: a line, and one for each step of the request. */
    public String text() {
        StringBuilder text = new StringBuilder(rule + " broken at " + atMicros + " us"
                + (request.isEmpty() ? "" : " by request " + request) + ": " + what);
        last.forEach(step -> text.append("\n    ").append(step));
        return text.toString();
    }
}
