package sprucehold.change.document;

import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.TreeSet;

/**
 * Parses untrusted bytes within limits of size and nesting, and validates them against the JSON
 * schema.
 */
final class DocumentSchema {
    /**
     * Longest document, in bytes. A document with a thousand query classes and tenants needs a
     * tenth of it, so a longer document is a mistake or an attack.
     */
    static final int MAX_BYTES = 1 << 20;

    /** Deepest nesting that is parsed; the schema has four levels. */
    private static final int MAX_NESTING_DEPTH = 16;

    private static final int MAX_STRING_LENGTH = 10_000;
    private static final int MAX_NUMBER_LENGTH = 40;

    /** Mapper that rejects duplicate keys and any content after the document. */
    static final ObjectMapper STRICT_MAPPER =
            JsonMapper.builder(
                            new JsonFactoryBuilder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_NESTING_DEPTH)
                                                    .maxStringLength(MAX_STRING_LENGTH)
                                                    .maxNumberLength(MAX_NUMBER_LENGTH)
                                                    .build())
                                    .build())
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private static final JsonSchema SCHEMA = loadSchema();

    private DocumentSchema() {}

    private static JsonSchema loadSchema() {
        try (InputStream in = DocumentSchema.class.getResourceAsStream("/change.schema.json")) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A JSON object that conforms to the schema, or all errors that were found. */
    sealed interface Parsed {
        record Conforming(JsonNode node) implements Parsed {}

        record Invalid(List<ValidationError> errors) implements Parsed {}
    }

    static Parsed parse(byte[] json) {
        if (json.length > MAX_BYTES) {
            return invalid(json.length + " bytes", "at most " + MAX_BYTES + " are read");
        }
        JsonNode node;
        try {
            node = STRICT_MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            return invalid(
                    "line " + line + " is no JSON that can be taken: " + e.getOriginalMessage(),
                    "mend that line");
        } catch (IOException e) {
            return invalid(e.getMessage(), "send it again");
        }
        if (node == null || !node.isObject()) {
            return invalid("it is no JSON object", "begin it with {");
        }
        var errors = new TreeSet<ValidationError>();
        for (ValidationMessage message : SCHEMA.validate(node)) {
            errors.add(toError(message));
        }
        return errors.isEmpty()
                ? new Parsed.Conforming(node)
                : new Parsed.Invalid(List.copyOf(errors));
    }

    /** Returns an error of the document as a whole. */
    private static Parsed invalid(String problem, String remedy) {
        return new Parsed.Invalid(List.of(new ValidationError("", problem, remedy)));
    }

    private static ValidationError toError(ValidationMessage message) {
        String messageWithoutPath = message.getMessage().replaceFirst("^[^:]*: ", "");
        return new ValidationError(
                pointer(message.getInstanceLocation().toString()),
                messageWithoutPath,
                "see change.schema.json");
    }

    /** Converts a JSON path such as {@code $.limits[0]} to a JSON pointer. */
    private static String pointer(String jsonPath) {
        return jsonPath.replace('$', ' ')
                .trim()
                .replace('.', '/')
                .replace("[", "/")
                .replace("]", "");
    }
}
