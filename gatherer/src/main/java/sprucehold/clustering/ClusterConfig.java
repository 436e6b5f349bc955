package sprucehold.clustering;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import sprucehold.decision.SharedLimit;
import sprucehold.messaging.PeerMessagingSettings;
import sprucehold.settings.SettingsFile;

/**
 * What an operator states of the cluster, from a JSON file of the form {@code
 * deploy/together.schema.json}; the same at all of them.
 *
 * @param members all gatherers by name, this one included
 * @param shared which kinds of limits are shared
 * @param retriesPerWindow attempts beyond each part's first that all together may make within
 *     {@code furtherWindowMs}
 * @param maxClockDriftPpm how far any clock's rate may be off, in parts of a million
 * @param maxClockOffsetMs how far any two wall clocks may be apart, in milliseconds
 * @param messagesPerSecond so many messages leave a gatherer in a second at the most; {@code
 *     bytesPerSecond} likewise
 */
public record ClusterConfig(
        Map<String, Member> members,
        Set<SharedLimit.Kind> shared,
        int retriesPerWindow,
        double retryWindowMs,
        double maxClockDriftPpm,
        double maxClockOffsetMs,
        double messagesPerSecond,
        double bytesPerSecond) {
    private static final String SCHEMA = "together.schema.json";

    /**
     * One gatherer.
     *
     * @param at where the others reach it
     * @param listen where it listens itself, the same where nothing stands between
     */
    public record Member(
            String site, PeerMessagingSettings.Address at, PeerMessagingSettings.Address listen) {}

    /**
     * Reads the file.
     *
     * @throws IOException with all that is wrong with the file, in one line
     */
    public static ClusterConfig read(Path file) throws IOException {
        JsonNode node = SettingsFile.read(file, SCHEMA);
        var members = new LinkedHashMap<String, Member>();
        int at = 0;
        for (JsonNode member : node.get("members")) {
            String name = member.get("name").asText();
            PeerMessagingSettings.Address address =
                    address(file, "members[" + at + "].address", member.get("address").asText());
            PeerMessagingSettings.Address listen =
                    member.has("listen")
                            ? address(
                                    file,
                                    "members[" + at + "].listen",
                                    member.get("listen").asText())
                            : address;
            if (members.put(name, new Member(member.path("site").asText(""), address, listen))
                    != null) {
                throw new IOException(
                        file
                                + ", members["
                                + at
                                + "].name: "
                                + name
                                + " stands twice; each name once was expected");
            }
            at++;
        }
        JsonNode bounds = node.path("bounds");
        var shared = EnumSet.noneOf(SharedLimit.Kind.class);
        if (bounds.path("cold").asBoolean(true)) {
            shared.add(SharedLimit.Kind.SLOW_START);
        }
        if (bounds.path("customers").asBoolean(false)) {
            shared.add(SharedLimit.Kind.TENANT_QUOTA);
        }
        JsonNode further = bounds.path("further");
        if (!further.isMissingNode()) {
            shared.add(SharedLimit.Kind.RETRIES);
        }
        return new ClusterConfig(
                members,
                shared,
                further.path("dispatches").asInt(0),
                further.path("windowMs").asDouble(1000),
                node.path("driftPpm").asDouble(500),
                node.path("clocksOffMs").asDouble(5000),
                node.path("lettersPerS").asDouble(100),
                node.path("bytesPerS").asDouble(262_144));
    }

    private static PeerMessagingSettings.Address address(Path file, String path, String text)
            throws IOException {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw new IOException(
                    file + ", " + path + ": port " + port + "; 1 to 65535 was expected");
        }
        return new PeerMessagingSettings.Address(text.substring(0, colon), port);
    }
}
