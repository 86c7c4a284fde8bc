package baymoor.scale.run;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.scale.plan.BadPlan;
import baymoor.scale.plan.ScalePlan;
import baymoor.scale.plan.ScalePlanReader;
import java.util.List;
import org.junit.Test;

/** A run counts only where the machine was not the limit and nothing failed. */
public class ResultBuilderTest {

    private static ScaleResult result(int slowdown, long failures, double lateMillis, long dropped, String... reasons)
            throws BadPlan {
        ScalePlan plan = ScalePlanReader.parse("slowdown = " + slowdown + "\n[balancers]\nhollow = 2\n", "p.toml");
        Figures figures = SampleTotals.figures(failures);
        return new ResultBuilder(plan, "p.toml", List.of(reasons))
                .build(
                        figures,
                        new RealFigures(List.of(), List.of(), figures),
                        new OriginWatch(10),
                        new MachineWatch.State(lateMillis, dropped),
                        List.of(),
                        List.of());
    }

    @Test
    public void aRunOnAMachineWithRoomCounts() throws BadPlan {
        ScaleResult result = result(1, 0, 20, 0);
        assertTrue(result.valid());
        assertEquals(List.of(), result.reasons());
        assertEquals(20, result.machine().latenessP99Ms(), 1e-9);
        assertEquals(2, result.size().balancers());
    }

    @Test
    public void latenessCountsByTheRunsClock() throws BadPlan {
        assertFalse(result(1, 0, 60, 0).valid());
        assertTrue(result(2, 0, 60, 0).valid());
    }

    @Test
    public void datagramsThatTheKernelDroppedMakeItVoid() throws BadPlan {
        ScaleResult result = result(1, 0, 1, 1);
        assertFalse(result.valid());
        assertEquals(List.of("the machine was the limit: the kernel dropped 1 datagrams"), result.reasons());
    }

    @Test
    public void failuresAndEarlierReasonsMakeItVoid() throws BadPlan {
        assertEquals(List.of("3 tasks or decisions failed"), result(1, 3, 1, 0).reasons());
        assertEquals(
                List.of("not all were up"),
                result(1, 0, 1, 0, "not all were up").reasons());
    }
}
