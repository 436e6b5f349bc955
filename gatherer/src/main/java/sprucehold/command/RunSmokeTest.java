package sprucehold.command;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import sprucehold.node.SmokeTest;
import sprucehold.node.StartFailedException;
import sprucehold.policy.QueryScheduler;

/**
 * Runs the smoke test of a gatherer with stubs ({@code rehearse}); exits with 1 unless all queries
 * are completed.
 */
@Command(
        name = "rehearse",
        description =
                "Tries a gatherer among stubs on free ports of this machine: a query "
                        + "of each query class; exit 1 unless all are completed.",
        mixinStandardHelpOptions = true)
public final class RunSmokeTest implements Callable<Integer> {
    @CommandLine.Mixin private NodeOptions node;

    @Override
    public Integer call() throws IOException, StartFailedException {
        return SmokeTest.run(node.read(), QueryScheduler::new, System.out::println)
                ? CommandLine.ExitCode.OK
                : CommandLine.ExitCode.SOFTWARE;
    }
}
