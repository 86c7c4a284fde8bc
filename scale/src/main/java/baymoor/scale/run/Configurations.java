package baymoor.scale.run;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.BalancerConfig;
import baymoor.emulator.world.World;
import baymoor.scale.plan.ScalePlan;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.rng.UniformRandomProvider;

/** Writes what balancers are told at their start. */
final class Configurations {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final ScalePlan plan;
    private final Scenario tier;
    private final ScalePlatform platform;
    private final World world;
    private final Addresses addresses;
    private final boolean relayed;
    private final UniformRandomProvider seeds;
    private final Path folder;

    /** @param relayed whether datagrams to and from real balancers go by way of the relay */
    Configurations(
            ScalePlan plan,
            Scenario tier,
            ScalePlatform platform,
            World world,
            Addresses addresses,
            boolean relayed,
            UniformRandomProvider seeds,
            Path folder) {
        this.plan = plan;
        this.tier = tier;
        this.platform = platform;
        this.world = world;
        this.addresses = addresses;
        this.relayed = relayed;
        this.seeds = seeds;
        this.folder = folder;
    }

    /** Writes the file of a balancer that starts now, with the list as it stands. On the world's thread. */
    Path write(int balancer) throws IOException {
        world.starts(balancer);
        String text = BalancerConfig.json(tier, platform, world, balancer, seeds.nextLong());
        ObjectNode config = (ObjectNode) JSON.readTree(text);
        ArrayNode peers = config.putArray("peers");
        for (int other = 0; other < plan.balancers().count(); other++) {
            peers.add(Addresses.text(seenBy(balancer, other)));
        }
        Path file = folder.resolve("n" + balancer + ".json");
        Files.writeString(file, config + "\n");
        return file;
    }

    /** Where one balancer sends to reach another one, and hears it from. */
    InetSocketAddress seenBy(int balancer, int other) {
        int real = plan.balancers().real();
        boolean through = relayed && balancer != other && (balancer < real || other < real);
        return through ? addresses.relay(other) : addresses.peers(other);
    }
}
