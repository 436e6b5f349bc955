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
 * Settings of the cluster, read from a JSON file with the schema {@code
 * deploy/together.schema.json}. All gatherers of a cluster must have the same settings.
 *
 * @param members all gatherers by name, including this one
 * @param shared kinds of limits that the gatherers share
 * @param retriesPerWindow number of attempts beyond the first of each part that all gatherers
 *     together may make within {@code retryWindowMs}
 * @param retryWindowMs window of {@code retriesPerWindow}, in milliseconds
 * @param maxClockDriftPpm largest error of the rate of any clock, in parts per million
 * @param maxClockOffsetMs largest difference between any two wall clocks, in milliseconds
 * @param messagesPerSecond maximum number of messages that a gatherer sends per second
 * @param bytesPerSecond maximum number of bytes of messages that a gatherer sends per second
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
     * Settings of one gatherer.
     *
     * @param site site of the gatherer
     * @param address address to which other gatherers send messages
     * @param listen address on which the gatherer listens; differs from {@code address} if there is
     *     a relay or an address translation between the gatherers
     */
    public record Member(
            String site,
            PeerMessagingSettings.Address address,
            PeerMessagingSettings.Address listen) {}

    /**
     * Reads the settings file.
     *
     * @throws IOException if the file can't be read or is invalid; the message is one line
     */
    public static ClusterConfig read(Path file) throws IOException {
        JsonNode node = SettingsFile.read(file, SCHEMA);
        var members = new LinkedHashMap<String, Member>();
        int index = 0;
        for (JsonNode member : node.get("members")) {
            String name = member.get("name").asText();
            PeerMessagingSettings.Address address =
                    parseAddress(
                            file, "members[" + index + "].address", member.get("address").asText());
            PeerMessagingSettings.Address listen =
                    member.has("listen")
                            ? parseAddress(
                                    file,
                                    "members[" + index + "].listen",
                                    member.get("listen").asText())
                            : address;
            if (members.put(name, new Member(member.path("site").asText(""), address, listen))
                    != null) {
                throw new IOException(
                        file
                                + ", members["
                                + index
                                + "].name: duplicate name "
                                + name
                                + "; names must be unique");
            }
            index++;
        }
        JsonNode limits = node.path("bounds");
        var shared = EnumSet.noneOf(SharedLimit.Kind.class);
        if (limits.path("cold").asBoolean(true)) {
            shared.add(SharedLimit.Kind.SLOW_START);
        }
        if (limits.path("customers").asBoolean(false)) {
            shared.add(SharedLimit.Kind.TENANT_QUOTA);
        }
        JsonNode retries = limits.path("further");
        if (!retries.isMissingNode()) {
            shared.add(SharedLimit.Kind.RETRIES);
        }
        return new ClusterConfig(
                members,
                shared,
                retries.path("dispatches").asInt(0),
                retries.path("windowMs").asDouble(1000),
                node.path("driftPpm").asDouble(500),
                node.path("clocksOffMs").asDouble(5000),
                node.path("lettersPerS").asDouble(100),
                node.path("bytesPerS").asDouble(262_144));
    }

    private static PeerMessagingSettings.Address parseAddress(Path file, String path, String text)
            throws IOException {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw new IOException(file + ", " + path + ": port " + port + "; expected 1 to 65535");
        }
        return new PeerMessagingSettings.Address(text.substring(0, colon), port);
    }
}
