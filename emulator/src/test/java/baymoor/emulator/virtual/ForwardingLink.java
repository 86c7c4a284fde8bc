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
    public void finish(boolean inAnyCase) {
        real.finish(inAnyCase);
    }

    @Override
    public boolean unread() {
        return real.unread();
    }

    @Override
    public boolean over() {
        return real.over();
    }

    @Override
    public void reading(boolean on) {
        real.reading(on);
    }
}
