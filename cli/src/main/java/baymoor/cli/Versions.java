package baymoor.cli;

import picocli.CommandLine.IVersionProvider;

/** The version that the build wrote into the jar. */
final class Versions implements IVersionProvider {

    static String version() {
        String version = Versions.class.getPackage().getImplementationVersion();
        return version == null ? "of a build folder" : version;
    }

    @Override
    public String[] getVersion() {
        return new String[] {"baymoor " + version(), "Java " + Runtime.version()};
    }
}
