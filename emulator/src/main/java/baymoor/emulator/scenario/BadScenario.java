package baymoor.emulator.scenario;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for an invalid scenario file, with all of its mistakes. */
public final class BadScenario extends Exception {

    private static final long serialVersionUID = 1;
    private final transient List<Mistake> mistakes;

    BadScenario(String file, List<Mistake> mistakes) {
        super(mistakes.stream().map(m -> m.text(file)).collect(Collectors.joining("\n")));
        this.mistakes = List.copyOf(mistakes);
    }

    /** Returns the mistakes in the order in which they were found. */
    public List<Mistake> mistakes() {
        return mistakes;
    }
}
