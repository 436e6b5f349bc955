package sprucehold.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sprucehold.settings.SettingsFile;

/**
 * Settings of the admin server, from a JSON file of the form {@code deploy/door.schema.json}.
 *
 * @param host where it listens
 * @param port where it listens, 0 for any free port
 * @param token what callers have to show
 * @param journal the journal of versions, or null if versions are not to outlive the process
 * @param watchDurationMs how long service has to hold before a version is confirmed, in
 *     milliseconds
 * @param minimumQueries the number of queries that have to be seen before a version is confirmed
 */
public record AdminConfig(
        String host,
        int port,
        String token,
        Path journal,
        double watchDurationMs,
        long minimumQueries) {
    private static final String SCHEMA = "door.schema.json";

    /** A shorter token could be guessed by trying. */
    private static final int MIN_TOKEN_LENGTH = 16;

    private static final String DEFAULT_ADDRESS = "127.0.0.1:8600";
    private static final double DEFAULT_WATCH_SECONDS = 120;
    private static final long DEFAULT_MINIMUM_QUERIES = 100;
    private static final double MS_PER_SECOND = 1000;

    /**
     * Reads the settings, and the token from the file that they name.
     *
     * @throws IOException with all that is wrong with the file, in one line
     */
    public static AdminConfig read(Path file) throws IOException {
        JsonNode node = SettingsFile.read(file, SCHEMA);
        String listen = node.path("listen").asText(DEFAULT_ADDRESS);
        int colon = listen.lastIndexOf(':');
        Path tokenFile = sibling(file, node.get("tokenFile").asText());
        String token = Files.readString(tokenFile).strip();
        if (token.length() < MIN_TOKEN_LENGTH) {
            throw new IOException(
                    tokenFile
                            + ": a token of "
                            + token.length()
                            + " letters; at least "
                            + MIN_TOKEN_LENGTH
                            + " were expected");
        }
        return new AdminConfig(
                listen.substring(0, colon),
                Integer.parseInt(listen.substring(colon + 1)),
                token,
                node.has("journal") ? sibling(file, node.get("journal").asText()) : null,
                node.path("watchSeconds").asDouble(DEFAULT_WATCH_SECONDS) * MS_PER_SECOND,
                node.path("leastScans").asLong(DEFAULT_MINIMUM_QUERIES));
    }

    /** Names in the file are relative to its folder. */
    private static Path sibling(Path file, String name) {
        return file.toAbsolutePath().resolveSibling(name);
    }
}
