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
 * What one gatherer is told at its start.
 *
 * @param sockets how many descriptors the process may hold
 * @param known the list as it was last held
 */
public record NodeConfig(
        String name,
        Address listen,
        Address discovery,
        long seed,
        int sockets,
        EndpointList known,
        DeploymentSettings facts) {

    /** Where to listen or call. */
    public record Address(String host, int port) {
        /** Nowhere. */
        static final Address NONE = new Address("", 0);

        /** A host that begins with a slash is the path of a socket. */
        SocketAddress socket() {
            return host.startsWith("/")
                    ? SocketAddress.domainSocketAddress(host)
                    : SocketAddress.inetSocketAddress(port, host);
        }

        static Address parse(String text, String what) throws InvalidSettingsException {
            int colon = text.lastIndexOf(':');
            if (colon <= 0
                    || !text.substring(colon + 1).matches("[0-9]{1,5}")
                    || Integer.parseInt(text.substring(colon + 1)) > 65_535) {
                throw new InvalidSettingsException(what + " needs HOST:PORT");
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
     * Reads the file; what the environment names wins over it. Null or empty values are not given.
     */
    public static NodeConfig read(Path file, String name, String listen, String discovery)
            throws IOException {
        JsonNode node;
        try {
            node = new ObjectMapper().readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException("not JSON: " + e.getOriginalMessage());
        }
        if (!node.path("settings").isObject()) {
            throw new InvalidSettingsException("no settings");
        }
        DeploymentSettings settings = DeploymentSettings.checked(node.get("settings"));
        if (settings.deployment().queryClasses().stream()
                .anyMatch(type -> type.secondStepParts() > 0)) {
            throw new InvalidSettingsException(
                    "table types of two steps can't be served by this protocol");
        }
        long seed;
        try {
            seed = Long.parseUnsignedLong(node.path("seed").asText("0"), 16);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("seed must be hex digits");
        }
        EndpointList known;
        try {
            known =
                    node.path("known").isObject()
                            ? EndpointListReader.decode(
                                    node.get("known"),
                                    settings.deployment().layout().replicaGroups())
                            : null;
        } catch (EndpointListReader.MalformedException e) {
            throw new InvalidSettingsException("known: " + e.getMessage());
        }
        return new NodeConfig(
                either(name, node.path("name")),
                Address.parse(either(listen, node.path("listen")), "listen"),
                Address.parse(either(discovery, node.path("discovery")), "discovery"),
                seed,
                node.path("limits").path("sockets").asInt(Integer.MAX_VALUE),
                known,
                settings);
    }

    private static String either(String given, JsonNode inFile) {
        return given == null || given.isEmpty() ? inFile.asText() : given;
    }

    /** The facts that matter to an operator, in a line. */
    public String summary() {
        var deployment = facts.deployment();
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
                + facts.shards()
                + " segments in "
                + deployment.layout().replicaGroups()
                + " cells, "
                + deployment.queryClasses().size()
                + " table types, "
                + deployment.tenants().size()
                + " customers; "
                + (known == null
                        ? "no list known"
                        : known.servers().size()
                                + " shard servers known at index "
                                + known.index());
    }
}
