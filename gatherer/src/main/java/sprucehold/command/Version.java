package sprucehold.command;

import picocli.CommandLine.IVersionProvider;

/** The version of the jar that runs. */
public final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        return new String[] {text()};
    }

    /** The version in one line, with the program's name. */
    static String text() {
        String version = Main.class.getPackage().getImplementationVersion();
        return "sprucehold " + (version == null ? "unpackaged" : version);
    }
}
