package baymoor.emulator.fabric;

/** Which zones are cut off from one another, each direction by itself. Cuts may overlap: a way is open once all have ended. */
public final class ZoneCuts {

    /** How many cuts keep what the first zone sends from the second. */
    private final int[][] activeCuts;

    /** Nothing is cut at first. */
    public ZoneCuts(int zones) {
        activeCuts = new int[zones][zones];
    }

    /** Cuts the way from one zone to another, or ends such a cut. */
    public void cut(int from, int to, boolean cut) {
        activeCuts[from][to] += cut ? 1 : -1;
    }

    /** Cuts a zone off from all others in both directions, or ends such a cut. */
    public void cutOff(int zone, boolean cut) {
        for (int other = 0; other < activeCuts.length; other++) {
            if (other != zone) {
                cut(zone, other, cut);
                cut(other, zone, cut);
            }
        }
    }

    /** Whether what one zone sends to another is lost at present. */
    public boolean isCut(int from, int to) {
        return activeCuts[from][to] > 0;
    }
}
