package sprucehold.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sprucehold.settings.SettingsFile;

/**
 * Settings of the HTTP server for operators, from a JSON file of the form {@code
 * deploy/door.schema.json}.
 *
 * @param host where it listens
 * @param token what callers have to show
 * @param journal the journal of versions, or null where no folder lasts
 * @param watchDurationMs how long service has to hold before a version is confirmed
 * @param minimumQueries and how many scans have to be seen
 */
public record AdminConfig(
        String host,
        int port,
        String token,
        Path journal,
        double watchDurationMs,
        long minimumQueries) {
    private static final String SCHEMA = "door.schema.json";

    /** A shorter one could be tried out. */
    private static final int LEAST_TOKEN_LETTERS = 16;

    /**
     * @throws IOException with all that is wrong with the file, in one line
     */
    public static AdminConfig read(Path file) throws IOException {
        JsonNode node = SettingsFile.read(file, SCHEMA);
        String listen = node.path("listen").asText("127.0.0.1:8600");
        int colon = listen.lastIndexOf(':');
        Path tokenFile = beside(file, node.get("tokenFile").asText());
        String token = Files.readString(tokenFile).strip();
        if (token.length() < LEAST_TOKEN_LETTERS) {
            throw new IOException(
                    tokenFile
                            + ": a token of "
                            + token.length()
                            + " letters; at least "
                            + LEAST_TOKEN_LETTERS
                            + " were expected");
        }
        return new AdminConfig(
                listen.substring(0, colon),
                Integer.parseInt(listen.substring(colon + 1)),
                token,
                node.has("journal") ? beside(file, node.get("journal").asText()) : null,
                node.path("watchSeconds").asDouble(120) * 1000,
                node.path("leastScans").asLong(100));
    }

    private static Path beside(Path file, String named) {
        return file.toAbsolutePath().resolveSibling(named);
    }
}
