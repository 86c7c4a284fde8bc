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
    public void finish(boolean inAnyCase) {
        link.finish(inAnyCase);
    }

    @Override
    public boolean unread() {
        return link.unread();
    }

    @Override
    public boolean over() {
        return link.over();
    }

    @Override
    public void reading(boolean on) {
        link.reading(on);
    }
}
