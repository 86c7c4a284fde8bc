package baymoor.emulator.sockets;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.BalancerConfig;
import baymoor.emulator.world.Listing;
import baymoor.emulator.world.World;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.IntStream;

/** Writes what real balancers are told at their start. */
final class Configurations {

    private Configurations() { }

    /** The file of one balancer, as it should start now. */
    static Path write(Scenario scenario, SocketPlatform platform, World world, long seed, int number, Path folder)
            throws IOException {
        boolean talk = scenario.balancers().peers();
        // There is no address that reaches all: each of the others is told by itself.
        BalancerConfig.Addresses at = new BalancerConfig.Addresses(platform.balancer(number),
                platform.address(world.discoveryPlace(), number), talk ? platform.peer(number) : null,
                IntStream.range(0, scenario.balancers().count()).mapToObj(platform::peer).toList(), null);
        String json = BalancerConfig.json(scenario, number, seed, at, Listing.object(world.index(), true,
                world.listed(), place -> platform.address(place, number), platform::unixMillis));
        Path file = folder.resolve("n" + number + ".json");
        Files.writeString(file, json + "\n");
        return file;
    }
}
