package baymoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.inventory.CallPacing.End;
import org.junit.Test;

public class ListConfirmationTest {

    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;

    private final ListConfirmation confirmation = ListConfirmation.from(START, true);

    private void lastsUntil(long micros) {
        assertTrue(confirmation.current(micros - 1));
        assertFalse(confirmation.current(micros));
    }

    @Test
    public void aListOfUnknownAgeMayBeUsedForSixSecondsFromTheStart() {
        assertFalse(confirmation.confirmed());
        lastsUntil(START + 6 * SECOND);
    }

    @Test
    public void aWatchConfirmsForAsLongAsItLivesAndSixSecondsFromItsLastSign() {
        confirmation.watchAlive(START + 3 * SECOND);
        assertTrue(confirmation.current(START + 1000 * SECOND));
        confirmation.watchAlive(START + 50 * SECOND);
        confirmation.watchLost();
        lastsUntil(START + 56 * SECOND);
    }

    @Test
    public void whatIsOlderTakesNothingBack() {
        confirmation.complete(START + 9 * SECOND);
        confirmation.complete(START + 2 * SECOND);
        lastsUntil(START + 15 * SECOND);
        assertEquals(START + 9 * SECOND, confirmation.completeMicros());
    }

    @Test
    public void whereDiscoveryTakesNoConnectionTheTimeIsCountedAnew() {
        confirmation.failed(End.REFUSED, START + 5 * SECOND, START + 5 * SECOND + 1);
        lastsUntil(START + 11 * SECOND);
    }

    @Test
    public void aCallTurnedDownAfterAWaitShowsThatDiscoveryIsUp() {
        confirmation.noneKnows(START + 5 * SECOND);
        confirmation.failed(End.TURNED_DOWN, START + 3 * SECOND, START + 5 * SECOND);
        lastsUntil(START + 6 * SECOND);
    }

    @Test
    public void aCallTurnedDownAtOnceMayMeanDownWhereNobodyElseKnowsMore() {
        confirmation.failed(End.TURNED_DOWN, START + 4 * SECOND, START + 4 * SECOND + 9);
        lastsUntil(START + 6 * SECOND);
        confirmation.noneKnows(START + 4 * SECOND);
        confirmation.failed(End.TURNED_DOWN, START + 5 * SECOND, START + 5 * SECOND + 9);
        lastsUntil(START + 11 * SECOND);
        confirmation.failed(End.TURNED_DOWN, START + 8 * SECOND, START + 8 * SECOND + 9);
        lastsUntil(START + 11 * SECOND);
    }

    @Test
    public void whereThereIsNobodyToAskACallTurnedDownAtOnceMeansDown() {
        ListConfirmation alone = ListConfirmation.from(START, false);
        alone.failed(End.TURNED_DOWN, START + 5 * SECOND, START + 5 * SECOND + 9);
        assertTrue(alone.current(START + 10 * SECOND));
    }

    @Test
    public void aDeadConnectionSaysNothingOfDiscovery() {
        confirmation.noneKnows(START + 5 * SECOND);
        confirmation.failed(End.SILENT, START + SECOND, START + 5 * SECOND);
        lastsUntil(START + 6 * SECOND);
    }

    @Test
    public void listsThatArePushedNeedNoConfirmation() {
        assertTrue(ListConfirmation.notNeeded().current(Long.MAX_VALUE / 4));
    }
}
