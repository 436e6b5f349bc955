package sprucehold.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.NetUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import sprucehold.coordinator.EndpointUpdate;

/**
 * One answer of discovery.
 *
 * @param index the version of the list
 * @param complete whether it is the whole list
 */
public record EndpointListReader(long index, boolean complete, List<EndpointUpdate> servers) {
    private static final Logger LOG = Logger.getLogger(EndpointListReader.class.getName());
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The answer doesn't tell what it has to. */
    public static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /** {@code cells} is how many cells there are. */
    public static EndpointListReader decode(byte[] body, int cells) throws MalformedException {
        try {
            return decode(MAPPER.readTree(new String(body, StandardCharsets.UTF_8)), cells);
        } catch (JsonProcessingException e) {
            throw new MalformedException("not JSON: " + e.getOriginalMessage());
        }
    }

    public static EndpointListReader decode(JsonNode node, int cells) throws MalformedException {
        if (!node.path("index").canConvertToLong()
                || !node.path("index").isIntegralNumber()
                || !node.path("snapshot").isBoolean()
                || !node.path("endpoints").isArray()) {
            throw new MalformedException("a list needs index, snapshot and endpoints");
        }
        var servers = new ArrayList<EndpointUpdate>();
        for (JsonNode endpoint : node.get("endpoints")) {
            servers.add(server(endpoint, cells));
        }
        return new EndpointListReader(
                node.get("index").longValue(),
                node.get("snapshot").booleanValue(),
                List.copyOf(servers));
    }

    private static EndpointUpdate server(JsonNode endpoint, int cells) throws MalformedException {
        String name = endpoint.path("name").asText();
        if (name.isEmpty()) {
            throw new MalformedException("an endpoint without a name");
        }
        int cell = endpoint.path("group").asInt(-1);
        String address = endpoint.path("address").asText();
        EndpointUpdate.State state =
                switch (endpoint.path("status").asText()) {
                    case "active" -> EndpointUpdate.State.RUNNING;
                    case "leaving" -> EndpointUpdate.State.DRAINING;
                    case "left" -> EndpointUpdate.State.GONE;
                    default -> null;
                };
        boolean placed = cell >= 0 && cell < cells && isAddress(address);
        if (state == null || state != EndpointUpdate.State.GONE && !placed) {
            // One odd entry mustn't hide the others, and where it isn't understood nothing is sent.
            LOG.warning(
                    "the list tells of shard server "
                            + name
                            + " what can't be used; it gets nothing");
            state = EndpointUpdate.State.GONE;
        }
        return new EndpointUpdate(
                name,
                address,
                placed ? cell : 0,
                endpoint.path("zone").asText(),
                endpoint.path("since_ms").doubleValue(),
                state);
    }

    /** Names are never looked up, so a host is its number. */
    private static boolean isAddress(String address) {
        int colon = address.lastIndexOf(':');
        return colon > 0
                && NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon)) != null
                && address.substring(colon + 1).matches("[0-9]{1,5}")
                && Integer.parseInt(address.substring(colon + 1)) <= 65_535;
    }
}
