package baymoor.emulator.sockets;

import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import baymoor.resp.RespWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** Sends PING to a balancer repeatedly until it answers or the result is no longer needed. Runs on the decision thread. */
final class ReadinessProbe implements LinkEvents {

    private static final long RETRY_DELAY_MICROS = 20_000;

    private final Dialer dialer;
    private final Time time;
    private final InetSocketAddress address;
    private final BooleanSupplier stillNeeded;
    private final Runnable onAnswered;
    private Link link;
    private boolean pongReceived;

    private ReadinessProbe(
            Dialer dialer, Time time, InetSocketAddress address, BooleanSupplier stillNeeded, Runnable onAnswered) {
        this.dialer = dialer;
        this.time = time;
        this.address = address;
        this.stillNeeded = stillNeeded;
        this.onAnswered = onAnswered;
    }

    static void pingUntilAnswered(
            Dialer dialer, Time time, InetSocketAddress address, BooleanSupplier stillNeeded, Runnable onAnswered) {
        if (stillNeeded.getAsBoolean()) {
            ReadinessProbe probe = new ReadinessProbe(dialer, time, address, stillNeeded, onAnswered);
            probe.link = dialer.dial(address, probe);
        }
    }

    @Override
    public void opened() {
        link.write(RespWriter.command(RespWriter.utf8("PING")));
    }

    @Override
    public void received(byte[] bytes) {
        pongReceived = new String(bytes, StandardCharsets.US_ASCII).startsWith("+PONG");
        link.close();
    }

    @Override
    public void written() {
        // Readiness is decided by the answer.
    }

    @Override
    public void closed() {
        if (pongReceived) {
            onAnswered.run();
        } else {
            time.schedule(RETRY_DELAY_MICROS, () -> pingUntilAnswered(dialer, time, address, stillNeeded, onAnswered));
        }
    }
}
