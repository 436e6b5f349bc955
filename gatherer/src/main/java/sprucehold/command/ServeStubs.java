package sprucehold.command;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import sprucehold.node.Service;
import sprucehold.node.StartFailedException;

/** Serves stubs of discovery and of the shard servers in a configuration ({@code stand-in}). */
@Command(
        name = "stand-in",
        description =
                "Serves stubs of discovery and of the shard servers that a gatherer's "
                        + "configuration names, on their addresses.",
        mixinStandardHelpOptions = true)
public final class ServeStubs implements Callable<Integer> {
    @CommandLine.Mixin private NodeOptions node;

    @Override
    public Integer call() throws IOException, StartFailedException {
        Service.startStubs(node.read());
        return CommandLine.ExitCode.OK;
    }
}
