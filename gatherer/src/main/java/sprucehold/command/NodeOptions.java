package sprucehold.command;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import sprucehold.node.NodeConfig;

/**
 * Which configuration a gatherer reads, and what wins over it; by option or from the environment.
 */
final class NodeOptions {
    private static final String CONFIG_VARIABLE = "EDGE_CONFIG";
    private static final String NAME_VARIABLE = "EDGE_NAME";
    private static final String LISTEN_VARIABLE = "EDGE_LISTEN";
    private static final String DISCOVERY_VARIABLE = "EDGE_DISCOVERY";

    @Option(
            names = "--config",
            required = true,
            defaultValue = "${env:" + CONFIG_VARIABLE + "}",
            paramLabel = "FILE",
            description =
                    "the configuration of a gatherer, as JSON (default: $" + CONFIG_VARIABLE + ")")
    private Path config;

    @Option(
            names = "--name",
            defaultValue = "${env:" + NAME_VARIABLE + "}",
            description = "wins over the file's")
    private String name;

    @Option(
            names = "--listen",
            defaultValue = "${env:" + LISTEN_VARIABLE + "}",
            paramLabel = "HOST:PORT",
            description = "wins over the file's")
    private String listen;

    @Option(
            names = "--discovery",
            defaultValue = "${env:" + DISCOVERY_VARIABLE + "}",
            paramLabel = "HOST:PORT",
            description = "wins over the file's")
    private String discovery;

    /** As the options' own defaults have it, without the library that reads options. */
    static NodeOptions ofEnvironment() {
        var options = new NodeOptions();
        options.config = Path.of(System.getenv(CONFIG_VARIABLE));
        options.name = System.getenv(NAME_VARIABLE);
        options.listen = System.getenv(LISTEN_VARIABLE);
        options.discovery = System.getenv(DISCOVERY_VARIABLE);
        return options;
    }

    /** Whether the environment names a configuration. */
    static boolean inEnvironment() {
        return Serve.given(CONFIG_VARIABLE);
    }

    /** Reads the configuration. */
    NodeConfig read() throws IOException {
        return NodeConfig.read(config, name, listen, discovery);
    }

    /** What the file says by now; discovery's address is the file's alone, since it may move. */
    NodeConfig reload() throws IOException {
        return NodeConfig.read(config, name, listen, null);
    }
}
