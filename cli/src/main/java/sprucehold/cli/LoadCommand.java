package sprucehold.cli;

import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sprucehold.rig.run.ClientsOnlyRun;
import sprucehold.rig.script.ScriptReader;
import sprucehold.rig.verdict.Figures;

/** Sends the queries of a script to gatherers that are already running. */
@Command(
        name = "load",
        description =
                "Asks the scans of a script, at their planned times whatever comes back, of gatherers "
                        + "that are there already.",
        mixinStandardHelpOptions = true)
public final class LoadCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "SCRIPT",
            description = "a file by deploy/rig.schema.json, or the name of one that comes along")
    private String script;

    @Option(
            names = "--to",
            paramLabel = "HOST:PORT",
            required = true,
            arity = "1..*",
            description = "where gatherers listen")
    private List<String> to;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "of all chance in the plan (default: 1)")
    private long seed;

    @Option(names = "--json", description = "one JSON object instead of lines")
    private boolean json;

    @Override
    public Integer call() throws IOException {
        var addresses = new ArrayList<SocketAddress>();
        for (String address : to) {
            int colon = address.lastIndexOf(':');
            if (colon <= 0 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
                throw new IOException("--to " + address + ": HOST:PORT was expected");
            }
            addresses.add(
                    SocketAddress.inetSocketAddress(
                            Integer.parseInt(address.substring(colon + 1)),
                            address.substring(0, colon)));
        }
        Figures figures =
                ClientsOnlyRun.run(ScriptReader.read(script), seed, addresses, System.err::println);
        if (json) {
            Console.json(figures);
        } else {
            System.out.printf(
                    Locale.ROOT,
                    "%d scans, %.3f completed in target time, p50 %.1f ms, p99 %.1f ms, sent late by "
                            + "%.1f ms (p99)%n%s%n",
                    figures.scans(),
                    figures.service(),
                    figures.p50Ms(),
                    figures.p99Ms(),
                    figures.sendLateP99Ms(),
                    figures.ends());
        }
        return figures.service() > 0 || figures.scans() == 0 ? 0 : 1;
    }
}
