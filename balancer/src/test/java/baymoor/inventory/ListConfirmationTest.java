package baymoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.inventory.CallPacing.Outcome;
import org.junit.Test;

public class ListConfirmationTest {

    private static final long SECOND = 1_000_000;
    private static final long START = 100 * SECOND;

    private final ListConfirmation confirmation = ListConfirmation.startingAt(START, true);

    private void checkCurrentUntil(long micros) {
        assertTrue(confirmation.isFresh(micros - 1));
        assertFalse(confirmation.isFresh(micros));
    }

    @Test
    public void listOfUnknownAgeIsCurrentForSixSecondsAfterStart() {
        assertFalse(confirmation.isConfirmed());
        checkCurrentUntil(START + 6 * SECOND);
    }

    @Test
    public void listIsCurrentWhileTheWatchIsLiveAndSixSecondsAfterItsLastHeartbeat() {
        confirmation.watchHeartbeat(START + 3 * SECOND);
        assertTrue(confirmation.isFresh(START + 1000 * SECOND));
        confirmation.watchHeartbeat(START + 50 * SECOND);
        confirmation.watchLost();
        checkCurrentUntil(START + 56 * SECOND);
    }

    @Test
    public void olderConfirmationHasNoEffect() {
        confirmation.recordComplete(START + 9 * SECOND);
        confirmation.recordComplete(START + 2 * SECOND);
        checkCurrentUntil(START + 15 * SECOND);
        assertEquals(START + 9 * SECOND, confirmation.lastCompleteMicros());
    }

    @Test
    public void failedConnectionRestartsTheSixSeconds() {
        confirmation.callFailed(Outcome.CONNECTION_FAILED, START + 5 * SECOND, START + 5 * SECOND + 1);
        checkCurrentUntil(START + 11 * SECOND);
    }

    /** A rejection alone can't distinguish an overloaded discovery from one that is down. */
    @Test
    public void rejectionCountsAsUnreachableOnlyIfNoPeerHasANewerList() {
        confirmation.callFailed(Outcome.REJECTED, START + 2 * SECOND, START + 4 * SECOND);
        checkCurrentUntil(START + 6 * SECOND);
        confirmation.peerHasNoNewerList(START + 4 * SECOND);
        confirmation.callFailed(Outcome.REJECTED, START + 3 * SECOND, START + 5 * SECOND);
        checkCurrentUntil(START + 9 * SECOND);
        confirmation.callFailed(Outcome.REJECTED, START + 8 * SECOND, START + 8 * SECOND);
        checkCurrentUntil(START + 9 * SECOND);
    }

    @Test
    public void rejectionCountsAsUnreachableWithoutPeers() {
        ListConfirmation withoutPeers = ListConfirmation.startingAt(START, false);
        withoutPeers.callFailed(Outcome.REJECTED, START + 5 * SECOND, START + 5 * SECOND + 9);
        assertTrue(withoutPeers.isFresh(START + 10 * SECOND));
    }

    @Test
    public void timeoutDoesNotCountAsUnreachable() {
        confirmation.peerHasNoNewerList(START + 5 * SECOND);
        confirmation.callFailed(Outcome.TIMED_OUT, START + SECOND, START + 5 * SECOND);
        checkCurrentUntil(START + 6 * SECOND);
    }

    /** Guards against an old list in use for longer than 4 s after the order to ask another discovery, which rejects the calls. */
    @Test
    public void afterAnAddressChangeOnlyAConfirmationOfThatTimeOrLaterCounts() {
        long changed = START + 10 * SECOND;
        confirmation.watchHeartbeat(changed + SECOND);
        confirmation.addressChanged(changed);
        confirmation.watchLost();
        confirmation.peerHasNoNewerList(changed + 3 * SECOND);
        assertTrue(confirmation.callFailed(Outcome.REJECTED, changed + 2 * SECOND, changed + 4 * SECOND));
        confirmation.recordUnreachable(changed + 3 * SECOND);
        checkCurrentUntil(changed + 4 * SECOND);
        confirmation.recordComplete(changed + 4 * SECOND - 1);
        assertFalse(confirmation.isFresh(changed + 5 * SECOND));
        confirmation.recordComplete(changed + 4 * SECOND);
        checkCurrentUntil(changed + 10 * SECOND);
    }

    @Test
    public void eachOfSeveralAddressChangesHasItsOwnTime() {
        long changed = START + 10 * SECOND;
        confirmation.recordComplete(changed);
        confirmation.addressChanged(changed);
        confirmation.addressChanged(changed + 3 * SECOND);
        checkCurrentUntil(changed + 4 * SECOND);
        confirmation.recordComplete(changed + 6 * SECOND);
        checkCurrentUntil(changed + 7 * SECOND);
        confirmation.watchHeartbeat(changed + 8 * SECOND);
        assertTrue(confirmation.isFresh(changed + 9 * SECOND));
    }

    @Test
    public void aConnectionToTheNewAddressThatFailsRestartsTheSixSeconds() {
        long changed = START + 10 * SECOND;
        confirmation.recordComplete(changed);
        confirmation.callFailed(Outcome.CONNECTION_FAILED, changed - 1, changed);
        confirmation.addressChanged(changed);
        checkCurrentUntil(changed + 4 * SECOND);
        confirmation.callFailed(Outcome.CONNECTION_FAILED, changed + 3 * SECOND, changed + 3 * SECOND);
        checkCurrentUntil(changed + 9 * SECOND);
    }

    @Test
    public void pushedListIsAlwaysCurrent() {
        assertTrue(ListConfirmation.notNeeded().isFresh(Long.MAX_VALUE / 4));
    }
}
