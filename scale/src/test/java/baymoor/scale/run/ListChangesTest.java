package baymoor.scale.run;

import static org.junit.Assert.assertEquals;

import baymoor.scale.hollow.Totals.KnownVersion;
import java.util.List;
import org.junit.Test;

/** A change is known once a balancer holds its version or a later one. */
public class ListChangesTest {

    private final ListChanges changes = new ListChanges();

    @Test
    public void aLaterVersionCountsForTheEarlierOne() {
        changes.shown(2, 1_000_000);
        changes.shown(3, 1_200_000);
        changes.shown(3, 9_000_000);
        List<KnownVersion> known = List.of(
                new KnownVersion(0, 2, 1_100_000, false),
                new KnownVersion(0, 3, 1_300_000, false),
                new KnownVersion(1, 3, 1_500_000, false));
        List<ListChanges.Change> found = changes.changes(500_000, 2_000_000, known, 2);
        assertEquals(2, found.size());
        assertEquals(new ListChanges.Change(0.5, 100, 500, 500), found.get(0));
        assertEquals(new ListChanges.Change(0.7, 100, 300, 300), found.get(1));
    }

    /** Guards against a change that counts as never known since a balancer had it before the tool's next look at the version. */
    @Test
    public void aBalancerThatHasAVersionBeforeItIsNoticedKnowsItAtOnce() {
        changes.shown(2, 1_000_000);
        List<KnownVersion> known = List.of(
                new KnownVersion(0, 1, 400_000, false),
                new KnownVersion(0, 2, 999_919, false),
                new KnownVersion(1, 2, 1_300_000, false));
        assertEquals(
                new ListChanges.Change(1, 0, 300, 300),
                changes.changes(0, 2_000_000, known, 2).get(0));
    }

    @Test
    public void whatSomebodyNeverKnowsIsSaidSo() {
        changes.shown(2, 1_000_000);
        List<ListChanges.Change> found =
                changes.changes(0, 2_000_000, List.of(new KnownVersion(5, 2, 1_400_000, false)), 2);
        assertEquals(new ListChanges.Change(1, 400, -1, -1), found.get(0));
    }

    @Test
    public void whoStartsWithItLaterIsNotWaitedFor() {
        changes.shown(2, 1_000_000);
        List<KnownVersion> known = List.of(
                new KnownVersion(0, 1, 500_000, true),
                new KnownVersion(0, 2, 1_100_000, false),
                new KnownVersion(1, 1, 500_000, true),
                new KnownVersion(1, 2, 8_000_000, true),
                new KnownVersion(1, 3, 9_000_000, false));
        assertEquals(
                new ListChanges.Change(1, 100, 100, 100),
                changes.changes(0, 2_000_000, known, 2).get(0));
    }

    @Test
    public void changesOutsideOfTheTimeThatCountsAreLeftOut() {
        changes.shown(1, 100);
        changes.shown(2, 5_000_000);
        assertEquals(0, changes.changes(1_000, 4_000_000, List.of(), 1).size());
    }
}
