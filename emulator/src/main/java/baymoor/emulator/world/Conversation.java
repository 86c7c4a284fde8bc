package baymoor.emulator.world;

import baymoor.link.LinkEvents;

/** One connection to a host: the other side speaks first, and nothing turns on when what was said has left. */
abstract class Conversation implements LinkEvents {

    @Override
    public final void opened() {
        // The other side speaks first.
    }

    @Override
    public final void written() {
        // Nothing turns on it.
    }
}
