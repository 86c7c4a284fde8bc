package baymoor.cli;

import baymoor.emulator.scenario.BadScenario;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import java.nio.file.Path;

/** Reads scenario files for commands. */
final class Scenarios {

    private Scenarios() {}

    static Scenario read(Path file) {
        try {
            return ScenarioReader.read(file);
        } catch (BadScenario e) {
            throw new Failed(e.getMessage());
        }
    }
}
