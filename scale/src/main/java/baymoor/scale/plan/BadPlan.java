package baymoor.scale.plan;

import baymoor.emulator.scenario.Mistake;
import java.util.List;
import java.util.stream.Collectors;

/** A plan file with mistakes: the message has one line for each, with file, line and field. */
public final class BadPlan extends Exception {

    private static final long serialVersionUID = 1;

    BadPlan(String file, List<Mistake> mistakes) {
        super(mistakes.stream().map(mistake -> mistake.text(file)).collect(Collectors.joining("\n")));
    }
}
