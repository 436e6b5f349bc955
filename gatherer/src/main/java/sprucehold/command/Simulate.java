package sprucehold.command;

import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import sprucehold.policy.QueryScheduler;
import sprucehold.simulation.SimulationAdapter;

/** Runs many gatherers in the bench's simulation ({@code drill}). */
@Command(
        name = "drill",
        description = "Runs many gatherers on the bench's wire, on standard input and output.",
        mixinStandardHelpOptions = true)
public final class Simulate implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
        new SimulationAdapter(QueryScheduler::new).run(System.in, System.out);
        return CommandLine.ExitCode.OK;
    }
}
