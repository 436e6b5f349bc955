package sprucehold.command;

import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import sprucehold.node.NodeConfig;

/**
 * Options that select a gatherer's configuration file and override settings in it. Each can be set
 * on the command line or as an environment variable.
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

    /**
     * Returns the options with their defaults from the environment, without loading the library
     * that parses options.
     */
    static NodeOptions fromEnvironment() {
        var options = new NodeOptions();
        options.config = Path.of(System.getenv(CONFIG_VARIABLE));
        options.name = System.getenv(NAME_VARIABLE);
        options.listen = System.getenv(LISTEN_VARIABLE);
        options.discovery = System.getenv(DISCOVERY_VARIABLE);
        return options;
    }

    /** Whether the environment contains the path of a configuration. */
    static boolean isConfigInEnvironment() {
        return Serve.isSet(CONFIG_VARIABLE);
    }

    /** Reads the configuration. */
    NodeConfig read() throws IOException {
        return NodeConfig.read(config, name, listen, discovery);
    }

    /**
     * Reads the configuration file again. Discovery's address is taken from the file even if an
     * option overrides it, since the address may have changed.
     */
    NodeConfig reload() throws IOException {
        return NodeConfig.read(config, name, listen, null);
    }
}
