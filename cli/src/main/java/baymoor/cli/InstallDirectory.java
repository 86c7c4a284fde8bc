package baymoor.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Where the program was built: the launcher script names the folder, and the deploy file in it says how to serve. */
final class InstallDirectory {

    private InstallDirectory() {}

    static Path root() {
        return Path.of(System.getProperty("baymoor.home", ".")).toAbsolutePath().normalize();
    }

    /** The command that serves, as the platform runs it. */
    static String run() {
        Path deploy = root().resolve("deploy/balancer.toml");
        try {
            return Files.readAllLines(deploy).stream()
                    .filter(l -> l.startsWith("run = \""))
                    .findFirst()
                    .map(l -> l.substring("run = \"".length(), l.length() - 1))
                    .orElseThrow(() -> new Failed(deploy + ": no line run = \"...\""));
        } catch (IOException e) {
            throw new Failed(deploy + ": can't be read; start bin/baymoor from a built checkout");
        }
    }
}
