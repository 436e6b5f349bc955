package sprucehold.command;

import picocli.CommandLine.IVersionProvider;

/** Version of the running jar. */
public final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        return new String[] {text()};
    }

    /** Returns the program's name and version in one line. */
    static String text() {
        String version = Main.class.getPackage().getImplementationVersion();
        return "sprucehold " + (version == null ? "unpackaged" : version);
    }
}
