package baymoor.emulator.sockets;

import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import baymoor.resp.RespWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** Calls a balancer with PING, again and again, until it answers or nobody wants to know any more. */
final class Call implements LinkEvents {

    private static final long AGAIN_MICROS = 20_000;

    private final Dialer dialer;
    private final Time time;
    private final InetSocketAddress to;
    private final BooleanSupplier wanted;
    private final Runnable answered;
    private Link link;
    private boolean heard;

    private Call(Dialer dialer, Time time, InetSocketAddress to, BooleanSupplier wanted, Runnable answered) {
        this.dialer = dialer;
        this.time = time;
        this.to = to;
        this.wanted = wanted;
        this.answered = answered;
    }

    static void until(Dialer dialer, Time time, InetSocketAddress to, BooleanSupplier wanted, Runnable answered) {
        if (wanted.getAsBoolean()) {
            Call call = new Call(dialer, time, to, wanted, answered);
            call.link = dialer.dial(to, call);
        }
    }

    @Override
    public void opened() {
        link.write(RespWriter.command(RespWriter.ascii("PING")));
    }

    @Override
    public void received(byte[] bytes) {
        heard = new String(bytes, StandardCharsets.US_ASCII).startsWith("+PONG");
        link.close();
    }

    @Override
    public void written() {
        // The answer tells.
    }

    @Override
    public void closed() {
        if (heard) {
            answered.run();
        } else {
            time.after(AGAIN_MICROS, () -> until(dialer, time, to, wanted, answered));
        }
    }
}
