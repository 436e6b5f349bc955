package sprucehold.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.NetUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Logger;
import sprucehold.coordinator.EndpointUpdate;

/**
 * Decodes responses of discovery. An invalid entry doesn't invalidate the rest of the list: its
 * shard server is treated as gone, so that no attempt is sent to an endpoint with an unknown state
 * or address.
 *
 * <table>
 *   <caption>Keys of a response</caption>
 *   <tr><th>key</th><th>field in this code</th></tr>
 *   <tr><td>{@code index}</td><td>{@link EndpointList#index}, the version of the list</td></tr>
 *   <tr><td>{@code snapshot}</td><td>{@link EndpointList#complete}</td></tr>
 *   <tr><td>{@code endpoints[]}</td><td>{@link EndpointList#servers}: {@link
 *       EndpointUpdate}</td></tr>
 *   <tr><td>{@code endpoints[].name}, {@code address}, {@code zone}</td><td>the same</td></tr>
 *   <tr><td>{@code endpoints[].group}</td><td>{@code replicaGroup}</td></tr>
 *   <tr><td>{@code endpoints[].since_ms}</td><td>{@code startedAtMs}</td></tr>
 *   <tr><td>{@code endpoints[].status}: {@code active}, {@code leaving}, {@code left}</td>
 *       <td>{@code state}: {@code RUNNING}, {@code DRAINING}, {@code GONE}</td></tr>
 * </table>
 */
public final class EndpointListReader {
    private static final Logger LOG = Logger.getLogger(EndpointListReader.class.getName());
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_PORT = 65_535;

    private EndpointListReader() {}

    /** Thrown if a response isn't JSON or lacks a required field. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /**
     * Decodes the body of a response.
     *
     * @param body JSON in UTF-8
     * @param replicaGroups number of replica groups of the deployment
     * @throws MalformedException if the body isn't an endpoint list
     */
    public static EndpointList decode(byte[] body, int replicaGroups) throws MalformedException {
        try {
            return decode(JSON.readTree(new String(body, StandardCharsets.UTF_8)), replicaGroups);
        } catch (JsonProcessingException e) {
            throw new MalformedException("not JSON: " + e.getOriginalMessage());
        }
    }

    /**
     * Decodes a response that was parsed as JSON.
     *
     * @param node root of the response
     * @param replicaGroups number of replica groups of the deployment
     * @throws MalformedException if the node isn't an endpoint list
     */
    public static EndpointList decode(JsonNode node, int replicaGroups) throws MalformedException {
        if (!node.path("index").canConvertToLong()
                || !node.path("index").isIntegralNumber()
                || !node.path("snapshot").isBoolean()
                || !node.path("endpoints").isArray()) {
            throw new MalformedException(
                    "index, snapshot or endpoints is missing or has the wrong type");
        }
        var servers = new ArrayList<EndpointUpdate>();
        for (JsonNode endpoint : node.get("endpoints")) {
            servers.add(decodeEndpoint(endpoint, replicaGroups));
        }
        return new EndpointList(
                node.get("index").longValue(),
                node.get("snapshot").booleanValue(),
                List.copyOf(servers));
    }

    private static EndpointUpdate decodeEndpoint(JsonNode endpoint, int replicaGroups)
            throws MalformedException {
        String name = endpoint.path("name").asText();
        if (name.isEmpty()) {
            throw new MalformedException("an endpoint has no name");
        }
        int group = endpoint.path("group").asInt(-1);
        String address = endpoint.path("address").asText();
        Optional<EndpointUpdate.State> state = parseStatus(endpoint.path("status").asText());
        boolean hasValidLocation = group >= 0 && group < replicaGroups && isAddress(address);
        boolean usable =
                state.isPresent() && (hasValidLocation || state.get() == EndpointUpdate.State.GONE);
        if (!usable) {
            LOG.warning("invalid endpoint, no attempts are sent to it: shard server " + name);
        }
        return new EndpointUpdate(
                name,
                address,
                hasValidLocation ? group : 0,
                endpoint.path("zone").asText(),
                endpoint.path("since_ms").doubleValue(),
                usable ? state.get() : EndpointUpdate.State.GONE);
    }

    private static Optional<EndpointUpdate.State> parseStatus(String status) {
        return switch (status) {
            case "active" -> Optional.of(EndpointUpdate.State.RUNNING);
            case "leaving" -> Optional.of(EndpointUpdate.State.DRAINING);
            case "left" -> Optional.of(EndpointUpdate.State.GONE);
            default -> Optional.empty();
        };
    }

    /**
     * Returns whether the text is an IP address and a port. Host names are rejected, since the
     * gatherer does no DNS lookups.
     */
    private static boolean isAddress(String address) {
        int colon = address.lastIndexOf(':');
        return colon > 0
                && NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon)) != null
                && address.substring(colon + 1).matches("[0-9]{1,5}")
                && Integer.parseInt(address.substring(colon + 1)) <= MAX_PORT;
    }
}
