package baymoor.emulator.sockets;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.BalancerConfig;
import baymoor.emulator.world.World;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the configuration files of balancer processes. */
final class Configurations {

    private Configurations() {}

    /** Writes the configuration for a start of one balancer now, and returns its path. */
    static Path write(Scenario scenario, SocketPlatform platform, World world, long seed, int number, Path folder)
            throws IOException {
        String json = BalancerConfig.json(scenario, platform, world, number, seed);
        Path file = folder.resolve("n" + number + ".json");
        Files.writeString(file, json + "\n");
        return file;
    }
}
