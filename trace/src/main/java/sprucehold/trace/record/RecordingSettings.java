package sprucehold.trace.record;

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
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The operator's settings for recording, read from a JSON file that conforms to {@code
 * deploy/recording.schema.json}.
 *
 * @param folder the folder for trace files; it must exist
 * @param fileBytes the size at which a file is ended, in bytes after its header
 * @param fileMs the age at which a file is ended, in milliseconds
 * @param keepFiles the number of newest files of this gatherer that are kept
 * @param waitingRecords the largest number of events and commands that wait for the writer
 * @param oneIn sampling rate n: one in n of the queries that were answered completely within their
 *     latency objective is kept; 1 keeps everything
 */
public record RecordingSettings(
        Path folder, long fileBytes, double fileMs, int keepFiles, int waitingRecords, int oneIn) {

    /**
     * Reads the settings.
     *
     * @throws InvalidSettingsException if the file is invalid; the message lists all faults in one
     *     line
     */
    public static RecordingSettings read(Path file) throws IOException {
        JsonNode node;
        try {
            node =
                    JsonMapper.builder()
                            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                            .build()
                            .readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException(
                    file
                            + ", line "
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": not JSON: "
                            + e.getOriginalMessage());
        }
        Set<ValidationMessage> faults = schema().validate(node);
        if (!faults.isEmpty()) {
            throw new InvalidSettingsException(
                    file
                            + ": "
                            + faults.stream()
                                    .map(ValidationMessage::getMessage)
                                    .sorted()
                                    .collect(Collectors.joining("; ")));
        }
        Path folder = Path.of(node.get("folder").asText());
        return new RecordingSettings(
                folder.isAbsolute() ? folder : file.toAbsolutePath().resolveSibling(folder),
                node.path("fileMb").asLong(64) << 20,
                node.path("fileMinutes").asDouble(60) * 60_000,
                node.path("keepFiles").asInt(24),
                node.path("waitingRecords").asInt(20_000),
                node.path("oneIn").asInt(1));
    }

    private static JsonSchema schema() throws IOException {
        try (InputStream in =
                RecordingSettings.class.getResourceAsStream("/recording.schema.json")) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        }
    }

    /** Thrown when the settings file is not valid. */
    public static final class InvalidSettingsException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidSettingsException(String message) {
            super(message);
        }
    }
}
