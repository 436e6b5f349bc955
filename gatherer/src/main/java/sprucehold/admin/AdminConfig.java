package sprucehold.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import sprucehold.settings.SettingsFile;

/**
 * Settings of the admin server, read from a JSON file with the schema {@code
 * deploy/door.schema.json}.
 *
 * @param host address on which the server listens
 * @param port port on which the server listens, 0 for any free port
 * @param token token that requests must contain
 * @param journal file in which versions are stored, or null if versions are lost when the process
 *     ends
 * @param watchDurationMs time for which the health watch must find no degradation before a version
 *     is confirmed, in milliseconds
 * @param minimumQueries number of queries that must have been observed before a version is
 *     confirmed
 */
public record AdminConfig(
        String host,
        int port,
        String token,
        Path journal,
        double watchDurationMs,
        long minimumQueries) {
    private static final String SCHEMA = "door.schema.json";

    /** Minimum length of the token; a shorter one could be guessed by brute force. */
    private static final int MIN_TOKEN_LENGTH = 16;

    private static final String DEFAULT_ADDRESS = "127.0.0.1:8600";
    private static final double DEFAULT_WATCH_SECONDS = 120;
    private static final long DEFAULT_MINIMUM_QUERIES = 100;
    private static final double MS_PER_SECOND = 1000;

    /**
     * Reads the settings file and the token file that it names.
     *
     * @throws IOException if a file can't be read or is invalid; the message lists all errors in
     *     one line
     */
    public static AdminConfig read(Path file) throws IOException {
        JsonNode node = SettingsFile.read(file, SCHEMA);
        String listen = node.path("listen").asText(DEFAULT_ADDRESS);
        int colon = listen.lastIndexOf(':');
        Path tokenFile = resolve(file, node.get("tokenFile").asText());
        String token = Files.readString(tokenFile).strip();
        if (token.length() < MIN_TOKEN_LENGTH) {
            throw new IOException(
                    tokenFile
                            + ": the token has "
                            + token.length()
                            + " characters; at least "
                            + MIN_TOKEN_LENGTH
                            + " are required");
        }
        return new AdminConfig(
                listen.substring(0, colon),
                Integer.parseInt(listen.substring(colon + 1)),
                token,
                node.has("journal") ? resolve(file, node.get("journal").asText()) : null,
                node.path("watchSeconds").asDouble(DEFAULT_WATCH_SECONDS) * MS_PER_SECOND,
                node.path("leastScans").asLong(DEFAULT_MINIMUM_QUERIES));
    }

    /** Resolves a file name relative to the folder of the settings file. */
    private static Path resolve(Path file, String name) {
        return file.toAbsolutePath().resolveSibling(name);
    }
}
