package baymoor.scale.run;

import baymoor.link.Link;

/** A connection that counts what is written to it. */
final class CountedLink implements Link {

    private final Link link;
    private final Meter meter;

    /** Hears how many bytes are written. */
    @FunctionalInterface
    interface Meter {
        void wrote(int bytes);
    }

    CountedLink(Link link, Meter meter) {
        this.link = link;
        this.meter = meter;
    }

    @Override
    public void write(byte[] bytes) {
        meter.wrote(bytes.length);
        link.write(bytes);
    }

    @Override
    public void close() {
        link.close();
    }

    @Override
    public void shutdownOutput(boolean evenIfUnread) {
        link.shutdownOutput(evenIfUnread);
    }

    @Override
    public boolean hasUnreadBytes() {
        return link.hasUnreadBytes();
    }

    @Override
    public boolean isClosed() {
        return link.isClosed();
    }

    @Override
    public void setReading(boolean on) {
        link.setReading(on);
    }
}
