package baymoor.config;

import java.net.InetSocketAddress;
import java.util.List;
import merlinstep.Decisions;
import org.json.JSONObject;

/**
 * The configuration of one balancer.
 *
 * @param name             the balancer's name
 * @param listen           address on which clients are accepted
 * @param discovery        address of discovery, or of the agent where lists are pushed
 * @param peerListen       address on which peers' datagrams are received, or null if peers don't communicate
 * @param peers            addresses of all balancers by index, this one included
 * @param peersAll         broadcast address of the peers, or null if there is none
 * @param maxSockets       maximum number of open sockets
 * @param initialList      the server list to start with, as discovery's JSON, or null
 * @param decisionSettings settings of the decision module
 */
public record Settings(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress peersAll,
        int maxSockets,
        JSONObject initialList,
        Decisions.Settings decisionSettings) {

    public Settings {
        peers = List.copyOf(peers);
    }
}
