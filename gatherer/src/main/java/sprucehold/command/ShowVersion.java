package sprucehold.command;

import picocli.CommandLine.Command;

/** Prints the version of the running jar ({@code version}). */
@Command(name = "version", description = "Prints the version.", mixinStandardHelpOptions = true)
public final class ShowVersion implements Runnable {
    @Override
    public void run() {
        System.out.println(Version.text());
    }
}
