package baymoor.emulator.virtual;

import baymoor.link.Link;

/** Forwards all calls to another link; tests override single methods. */
class ForwardingLink implements Link {
    final Link real;

    ForwardingLink(Link real) {
        this.real = real;
    }

    @Override
    public void write(byte[] bytes) {
        real.write(bytes);
    }

    @Override
    public void close() {
        real.close();
    }

    @Override
    public void shutdownOutput(boolean evenIfUnread) {
        real.shutdownOutput(evenIfUnread);
    }

    @Override
    public boolean hasUnreadBytes() {
        return real.hasUnreadBytes();
    }

    @Override
    public boolean isClosed() {
        return real.isClosed();
    }

    @Override
    public void setReading(boolean on) {
        real.setReading(on);
    }
}
