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
 * Reads a settings file strictly: one JSON document, no field twice, of the form that its schema
 * gives.
 */
public final class SettingsFile {
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param schema the name of a JSON schema among the program's resources
     * @throws IOException with all that is wrong with the file, in one line
     */
    public static JsonNode read(Path file, String schema) throws IOException {
        JsonNode settings = parse(file);
        Set<ValidationMessage> errors = schema(schema).validate(settings);
        if (!errors.isEmpty()) {
            throw new IOException(file + ": " + inOneLine(errors));
        }
        return settings;
    }

    private static String inOneLine(Set<ValidationMessage> errors) {
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

    private static JsonSchema schema(String name) throws IOException {
        try (InputStream in = SettingsFile.class.getResourceAsStream("/" + name)) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        }
    }
}
