package baymoor.tier.place;

/** The levels of the tier's topology, from the lowest to the root. The children of a group belong to the next lower level. */
public enum Level {
    /** A site; its children are balancers. */
    SITE,
    /** A zone; its children are sites. */
    ZONE,
    /** A region; its children are zones. */
    REGION,
    /** The whole tier; its children are regions. */
    TIER;

    private static final Level[] LEVELS = values();

    /** The number of levels. */
    public static final int COUNT = LEVELS.length;

    /** Returns the level with the given ordinal. */
    public static Level of(int ordinal) {
        return LEVELS[ordinal];
    }

    /** Returns whether this is the highest level. */
    public boolean isTop() {
        return this == TIER;
    }

    /** Returns the next higher level; undefined for {@link #TIER}. */
    public Level above() {
        return LEVELS[ordinal() + 1];
    }
}
