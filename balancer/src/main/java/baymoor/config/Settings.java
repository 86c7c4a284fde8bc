package baymoor.config;

import java.net.InetSocketAddress;
import java.util.List;
import merlinstep.Decisions;
import org.json.JSONObject;

/**
 * All that one balancer is told at start. {@code peerListen} and {@code peersAll} are null where balancers may not
 * speak with each other; {@code known} is the inventory as last held, in discovery's own form.
 */
public record Settings(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        int sockets,
        JSONObject known,
        Decisions.Settings module) {

    public Settings {
        peers = List.copyOf(peers);
    }
}
