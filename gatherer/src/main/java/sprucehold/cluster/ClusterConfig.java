package sprucehold.cluster;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import sprucehold.messaging.PeerMessagingSettings;
import sprucehold.port.Bound;

/**
 * What an operator says of the gatherers that talk, from a JSON file of the form {@code deploy/together.schema.json}; the same
 * at all of them.
 *
 * @param members all gatherers by name, this one included
 * @param shared which bounds are shared
 * @param further dispatches beyond each part's first that all together may make within {@code furtherWindowMs}
 * @param driftPpm how far any clock's rate may be off, in parts of a million
 * @param clocksOffMs how far any two wall clocks may be apart, in milliseconds
 * @param lettersPerS so many letters leave a gatherer in a second at the most; {@code bytesPerS} likewise
 */
public record ClusterConfig(Map<String, Member> members, Set<Bound.Kind> shared, int further, double furtherWindowMs,
        double driftPpm, double clocksOffMs, double lettersPerS, double bytesPerS) {

    /**
     * One gatherer.
     *
     * @param at where the others reach it
     * @param listen where it listens itself, the same where nothing stands between
     */
    public record Member(String site, PeerMessagingSettings.Address at, PeerMessagingSettings.Address listen) {
    }

    /** @throws IOException with all that is wrong with the file, in one line */
    public static ClusterConfig read(Path file) throws IOException {
        JsonNode node;
        try {
            node = JsonMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build().readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new IOException(file + ", line " + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                    + ": not JSON: " + e.getOriginalMessage(), e);
        }
        Set<ValidationMessage> faults = schema().validate(node);
        if (!faults.isEmpty()) {
            throw new IOException(file + ": " + faults.stream().map(ValidationMessage::getMessage).sorted()
                    .collect(Collectors.joining("; ")));
        }
        var members = new LinkedHashMap<String, Member>();
        int at = 0;
        for (JsonNode member : node.get("members")) {
            String name = member.get("name").asText();
            PeerMessagingSettings.Address address = address(file, "members[" + at + "].address", member.get("address").asText());
            PeerMessagingSettings.Address listen = member.has("listen")
                    ? address(file, "members[" + at + "].listen", member.get("listen").asText()) : address;
            if (members.put(name, new Member(member.path("site").asText(""), address, listen)) != null) {
                throw new IOException(file + ", members[" + at + "].name: " + name + " stands twice; each name once was expected");
            }
            at++;
        }
        JsonNode bounds = node.path("bounds");
        var shared = EnumSet.noneOf(Bound.Kind.class);
        if (bounds.path("cold").asBoolean(true)) {
            shared.add(Bound.Kind.COLD);
        }
        if (bounds.path("customers").asBoolean(false)) {
            shared.add(Bound.Kind.CUSTOMER);
        }
        JsonNode further = bounds.path("further");
        if (!further.isMissingNode()) {
            shared.add(Bound.Kind.FURTHER);
        }
        return new ClusterConfig(members, shared, further.path("dispatches").asInt(0), further.path("windowMs").asDouble(1000),
                node.path("driftPpm").asDouble(500), node.path("clocksOffMs").asDouble(5000),
                node.path("lettersPerS").asDouble(100), node.path("bytesPerS").asDouble(262_144));
    }

    private static PeerMessagingSettings.Address address(Path file, String path, String text) throws IOException {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw new IOException(file + ", " + path + ": port " + port + "; 1 to 65535 was expected");
        }
        return new PeerMessagingSettings.Address(text.substring(0, colon), port);
    }

    private static JsonSchema schema() throws IOException {
        try (InputStream in = ClusterConfig.class.getResourceAsStream("/together.schema.json")) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        }
    }
}
