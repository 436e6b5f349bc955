package sprucehold.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sprucehold.deployment.DeploymentSettings;
import sprucehold.deployment.InvalidSettingsException;
import sprucehold.discovery.EndpointList;
import sprucehold.discovery.EndpointListReader;

/**
 * Configuration of one gatherer, as it is read at its start.
 *
 * @param name the gatherer's name in logs and among other gatherers
 * @param listen the address on which the gatherer serves clients
 * @param discovery the address of discovery, which returns the endpoint list
 * @param seed the seed of the decision policy's random draws
 * @param maxDescriptors the maximum number of file descriptors that the process may have open
 * @param knownEndpoints the last known endpoint list at the time of the configuration, which may be
 *     out of date; null if the configuration contains none
 * @param settings the settings of the deployment
 */
public record NodeConfig(
        String name,
        Address listen,
        Address discovery,
        long seed,
        int maxDescriptors,
        EndpointList knownEndpoints,
        DeploymentSettings settings) {

    /**
     * Address to listen on or to connect to.
     *
     * @param host the host's name or IP address, or the path of a Unix domain socket if it begins
     *     with a slash
     * @param port the port; 0 for any free one
     */
    public record Address(String host, int port) {
        /** Placeholder for a missing address, to which nothing connects. */
        static final Address NONE = new Address("", 0);

        SocketAddress socket() {
            return host.startsWith("/")
                    ? SocketAddress.domainSocketAddress(host)
                    : SocketAddress.inetSocketAddress(port, host);
        }

        static Address parse(String text, String setting) throws InvalidSettingsException {
            int colon = text.lastIndexOf(':');
            if (colon <= 0
                    || !text.substring(colon + 1).matches("[0-9]{1,5}")
                    || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
                throw new InvalidSettingsException(setting + " must be HOST:PORT");
            }
            return new Address(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        }

        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /**
     * Reads a configuration file. A name or address that is passed as an argument takes precedence
     * over the one in the file; null and empty arguments are ignored.
     *
     * @throws InvalidSettingsException if the file's content is invalid
     * @throws IOException if the file can't be read
     */
    public static NodeConfig read(Path file, String name, String listen, String discovery)
            throws IOException {
        JsonNode node = parse(file);
        DeploymentSettings settings = settings(node);
        long seed = seed(node);
        EndpointList knownEndpoints = knownEndpoints(node, settings);
        return new NodeConfig(
                argumentOrFromFile(name, node.path("name")),
                Address.parse(argumentOrFromFile(listen, node.path("listen")), "listen"),
                Address.parse(argumentOrFromFile(discovery, node.path("discovery")), "discovery"),
                seed,
                node.path("limits").path("sockets").asInt(Integer.MAX_VALUE),
                knownEndpoints,
                settings);
    }

    private static JsonNode parse(Path file) throws IOException {
        try {
            return new ObjectMapper().readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException("not JSON: " + e.getOriginalMessage());
        }
    }

    private static DeploymentSettings settings(JsonNode node) throws InvalidSettingsException {
        if (!node.path("settings").isObject()) {
            throw new InvalidSettingsException("settings is missing or not an object");
        }
        DeploymentSettings settings = DeploymentSettings.readValidated(node.get("settings"));
        if (settings.deployment().queryClasses().stream()
                .anyMatch(queryClass -> queryClass.secondStepParts() > 0)) {
            throw new InvalidSettingsException(
                    "query classes with a second step are not supported by this protocol");
        }
        return settings;
    }

    private static long seed(JsonNode node) throws InvalidSettingsException {
        try {
            return Long.parseUnsignedLong(node.path("seed").asText("0"), 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed must be hex digits");
        }
    }

    private static EndpointList knownEndpoints(JsonNode node, DeploymentSettings settings)
            throws InvalidSettingsException {
        if (!node.path("known").isObject()) {
            return null;
        }
        try {
            return EndpointListReader.decode(
                    node.get("known"), settings.deployment().layout().replicaGroups());
        } catch (EndpointListReader.MalformedException e) {
            throw new InvalidSettingsException("known: " + e.getMessage());
        }
    }

    private static String argumentOrFromFile(String argument, JsonNode inFile) {
        return argument == null || argument.isEmpty() ? inFile.asText() : argument;
    }

    /** Returns a one-line summary for operators. */
    public String summary() {
        var deployment = settings.deployment();
        return "gatherer "
                + name
                + " in "
                + deployment.zone()
                + ", one of "
                + deployment.gatherers()
                + "; listens at "
                + listen
                + ", discovery at "
                + discovery
                + "; "
                + settings.shards()
                + " shards in "
                + deployment.layout().replicaGroups()
                + " replica groups, "
                + deployment.queryClasses().size()
                + " query classes, "
                + deployment.tenants().size()
                + " tenants; "
                + (knownEndpoints == null
                        ? "no endpoints known"
                        : knownEndpoints.servers().size()
                                + " shard servers known at index "
                                + knownEndpoints.index());
    }
}
