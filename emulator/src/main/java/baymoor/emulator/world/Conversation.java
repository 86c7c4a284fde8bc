package baymoor.emulator.world;

import baymoor.link.LinkEvents;

/** Connection of a host that waits for the peer's first bytes and ignores completed writes. */
abstract class Conversation implements LinkEvents {

    @Override
    public final void opened() {
        // The peer sends first.
    }

    @Override
    public final void written() {
        // Completed writes are not tracked.
    }
}
