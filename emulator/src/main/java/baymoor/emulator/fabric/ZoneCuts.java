package baymoor.emulator.fabric;

/**
 * Tracks network partitions between zones, each direction separately. Cuts may overlap: a direction is open once all of
 * its cuts have ended.
 */
public final class ZoneCuts {

    /** Number of active cuts of each direction, by source and destination zone. */
    private final int[][] activeCuts;

    /** Creates zones without any cut. */
    public ZoneCuts(int zones) {
        activeCuts = new int[zones][zones];
    }

    /** Starts or ends a cut of one direction. */
    public void cut(int from, int to, boolean cut) {
        activeCuts[from][to] += cut ? 1 : -1;
    }

    /** Starts or ends a cut between a zone and all others, in both directions. */
    public void cutOff(int zone, boolean cut) {
        for (int other = 0; other < activeCuts.length; other++) {
            if (other != zone) {
                cut(zone, other, cut);
                cut(other, zone, cut);
            }
        }
    }

    /** Returns whether traffic from one zone to another is dropped. */
    public boolean isCut(int from, int to) {
        return activeCuts[from][to] > 0;
    }
}
