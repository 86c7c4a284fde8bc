package baymoor.tier.place;

/** The levels of groups, named after what a group of that level is; its children are one level down. */
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

    /** The level with this ordinal. */
    public static Level of(int ordinal) {
        return LEVELS[ordinal];
    }

    /** Whether no level is above this one. */
    public boolean isTop() {
        return this == TIER;
    }

    /** The next level up. */
    public Level above() {
        return LEVELS[ordinal() + 1];
    }
}
