package baymoor.emulator.virtual;

import static org.junit.Assert.assertEquals;

import baymoor.emulator.scenario.ScenarioReader;
import java.util.List;
import org.junit.Test;

/** Guards against counting discovery updates as received when they were written to a watch behind a zone cut. */
public class CutWhileRoutersDrainTest {

    @Test
    public void drainingRoutersDuringAZoneCutBreaksNoRule() throws Exception {
        VirtualRun.Result result = VirtualRun.play(ScenarioReader.parse("""
                zones = ["a", "b"]
                warm_up = "2s"
                duration = "10s"
                [balancers]
                count = 4
                [[routers]]
                kind = "two-core"
                count = 6
                cores = 2
                speed = 1.5
                [keys]
                count = 2000
                [traffic]
                rate = "80/s"
                [[script]]
                at = "2s"
                do = "cut"
                zone = "b"
                for = "5s"
                [[script]]
                at = "3s"
                do = "drain-router"
                count = 6
                for = "2s"
                """, "cut-drain"), VirtualRun.Options.seed(1));
        assertEquals(List.of(), result.broken());
    }
}
