package sprucehold.settings;

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
 * Strict reader of settings files. A file must contain exactly one JSON document, without duplicate
 * fields and valid against its schema.
 */
public final class SettingsFile {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private SettingsFile() {}

    /**
     * Reads and validates a file.
     *
     * @param schema name of the JSON schema in the resources of the program
     * @throws IOException if the file can't be read or is invalid; the message lists all errors in
     *     one line
     */
    public static JsonNode read(Path file, String schema) throws IOException {
        JsonNode settings = parse(file);
        Set<ValidationMessage> errors = loadSchema(schema).validate(settings);
        if (!errors.isEmpty()) {
            throw new IOException(file + ": " + joinMessages(errors));
        }
        return settings;
    }

    private static String joinMessages(Set<ValidationMessage> errors) {
        return errors.stream()
                .map(ValidationMessage::getMessage)
                .sorted()
                .collect(Collectors.joining("; "));
    }

    private static JsonNode parse(Path file) throws IOException {
        try {
            return MAPPER.readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException e) {
            throw new IOException(
                    file
                            + ", line "
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": not JSON: "
                            + e.getOriginalMessage(),
                    e);
        }
    }

    private static JsonSchema loadSchema(String name) throws IOException {
        try (InputStream in = SettingsFile.class.getResourceAsStream("/" + name)) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        }
    }
}
