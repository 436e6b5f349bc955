package sprucehold.command;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Reads a gatherer's configuration and prints a summary of it ({@code check}). */
@Command(
        name = "check",
        description = "Reads a gatherer's configuration, and says what it understood.",
        mixinStandardHelpOptions = true)
public final class Check implements Callable<Integer> {
    @CommandLine.Mixin private NodeOptions node;

    @Override
    public Integer call() throws IOException {
        System.out.println(node.read().summary());
        return CommandLine.ExitCode.OK;
    }
}
