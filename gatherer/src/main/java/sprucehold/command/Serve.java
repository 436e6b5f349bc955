package sprucehold.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucehold.admin.AdminConfig;
import sprucehold.decision.DecisionPolicy;
import sprucehold.node.JsonLogFormatter;
import sprucehold.node.NodeConfig;
import sprucehold.node.NodeExtension;
import sprucehold.node.Service;
import sprucehold.node.StartFailedException;
import sprucehold.policy.QueryScheduler;

/** Runs one gatherer on sockets ({@code serve}). */
@Command(
        name = "serve",
        description = "Runs one gatherer on sockets.",
        mixinStandardHelpOptions = true)
public final class Serve implements Callable<Integer> {
    private static final String RECORDING_VARIABLE = "SPRUCEHOLD_RECORDING";
    private static final String QUERY_LOG_VARIABLE = "SPRUCEHOLD_LOG_SCANS";

    /** Format of the log lines; the constants are named like the values on the command line. */
    enum LogFormat {
        text,
        json
    }

    @CommandLine.Mixin private NodeOptions node;

    @Option(
            names = "--recording",
            paramLabel = "FILE",
            defaultValue = "${env:" + RECORDING_VARIABLE + "}",
            description =
                    "records every decision as this file says, see deploy/recording.schema.json "
                            + "(default: $SPRUCEHOLD_RECORDING, or none)")
    private Path recording;

    @Option(
            names = "--door",
            paramLabel = "FILE",
            description =
                    "opens an admin server through which the configuration is changed "
                            + "while it serves, see deploy/door.schema.json")
    private Path admin;

    @Option(
            names = "--together",
            paramLabel = "FILE",
            description =
                    "coordinates with other gatherers: shares limits and "
                            + "failure evidence with them, see deploy/together.schema.json (default: not)")
    private Path cluster;

    @Option(
            names = "--log",
            paramLabel = "FORM",
            defaultValue = "text",
            description = "text, or json for a JSON object a line (default: text)")
    private LogFormat logFormat;

    @Option(
            names = "--log-scans",
            defaultValue = "${env:" + QUERY_LOG_VARIABLE + ":-false}",
            description =
                    "logs each query "
                            + "received and answered, and each attempt's end, as JSON lines with their ids (default: "
                            + "$SPRUCEHOLD_LOG_SCANS, or not)")
    private boolean logQueries;

    /**
     * Whether the environment sets a configuration file and no option that only picocli can parse.
     */
    static boolean configuredByEnvironmentOnly() {
        return NodeOptions.isConfigInEnvironment()
                && !isSet(RECORDING_VARIABLE)
                && !isSet(QUERY_LOG_VARIABLE);
    }

    /** Whether an environment variable is set and not empty. */
    static boolean isSet(String variable) {
        return System.getenv(variable) != null && !System.getenv(variable).isEmpty();
    }

    /**
     * Returns the command with the defaults of its options and the settings from the environment.
     */
    static Serve fromEnvironment() {
        var serve = new Serve();
        serve.logFormat = LogFormat.text;
        serve.node = NodeOptions.fromEnvironment();
        return serve;
    }

    @Override
    public Integer call() throws IOException, StartFailedException {
        if (logFormat == LogFormat.json) {
            JsonLogFormatter.enable();
        }
        if (logQueries) {
            JsonLogFormatter.enableQueryLog();
        }
        NodeConfig config = node.read();
        AdminConfig adminConfig = admin == null ? null : AdminConfig.read(admin);
        List<NodeExtension.Factory> extensions =
                cluster == null ? List.of() : List.of(Clustering.read(cluster));
        if (recording == null) {
            start(config, QueryScheduler::new, adminConfig, extensions, () -> {});
        } else {
            Recording recorder = Recording.read(recording, config.name());
            start(
                    config,
                    recorder.wrap(QueryScheduler::new),
                    adminConfig,
                    extensions,
                    recorder::end);
        }
        return CommandLine.ExitCode.OK;
    }

    private void start(
            NodeConfig config,
            DecisionPolicy.Factory policy,
            AdminConfig adminConfig,
            List<NodeExtension.Factory> extensions,
            Runnable afterEnd)
            throws StartFailedException {
        Service.start(
                new Service.Options(
                        config,
                        QueryScheduler::new,
                        policy,
                        adminConfig,
                        extensions,
                        node::reload,
                        afterEnd));
    }
}
