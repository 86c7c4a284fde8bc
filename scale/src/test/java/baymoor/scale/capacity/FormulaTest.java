package baymoor.scale.capacity;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.util.Map;
import org.junit.Test;

public class FormulaTest {

    private static final Map<String, Double> NAMES = Map.of("balancers", 640.0, "rate", 2.5);

    @Test
    public void arithmeticIsAsUsual() {
        assertEquals(7, Formula.value("1 + 2 * 3", NAMES), 0);
        assertEquals(9, Formula.value("(1 + 2) * 3", NAMES), 0);
        assertEquals(-3, Formula.value("1 - 2 - 2", NAMES), 0);
        assertEquals(2, Formula.value("8 / 2 / 2", NAMES), 0);
        assertEquals(512, Formula.value("2 ^ 3 ^ 2", NAMES), 0);
        assertEquals(0.025, Formula.value("2.5e-2", NAMES), 0);
        assertEquals(-4, Formula.value("-2 ^ 2 + -0", NAMES), 8);
        assertEquals(1_600, Formula.value("balancers * rate", NAMES), 0);
        assertEquals(4, Formula.value("ceil(3.2)", NAMES), 0);
        assertEquals(640, Formula.value("max(balancers, rate) + min(0, 1)", NAMES), 0);
        assertEquals(1 - Math.exp(-2), Formula.value("1 - exp(-2)", NAMES), 1e-12);
        assertEquals(3, Formula.value("sqrt(9)", NAMES), 0);
    }

    @Test
    public void whatIsNoFormulaIsRefused() {
        for (String text : new String[] {"", "1 +", "(1", "1 2", "unknown", "sinus(1)", "balancers rate", "1)"}) {
            assertThrows(text, Formula.BadFormula.class, () -> Formula.value(text, NAMES));
        }
    }
}
