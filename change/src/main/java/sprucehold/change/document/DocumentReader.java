package sprucehold.change.document;

import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.StoredEnum;
import sprucehold.decision.Tenant;

/** Reads and writes documents as JSON of the form {@code deploy/change.schema.json}. */
public final class DocumentReader {
    /**
     * A thousand table types and customers take a tenth of it; a larger one is a mistake or an
     * attack.
     */
    public static final int MOST_BYTES = 1 << 20;

    /** The form goes four deep; beyond that nobody means it. */
    private static final int MOST_DEEP = 16;

    private static final ObjectMapper MAPPER =
            JsonMapper.builder(
                            new JsonFactoryBuilder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MOST_DEEP)
                                                    .maxStringLength(10_000)
                                                    .maxNumberLength(40)
                                                    .build())
                                    .build())
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();
    private static final JsonSchema SCHEMA = schema();

    private DocumentReader() {}

    private static JsonSchema schema() {
        try (InputStream in = DocumentReader.class.getResourceAsStream("/change.schema.json")) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A document, or all that is wrong with its form. */
    public sealed interface Read {
        record Good(ConfigurationDocument document) implements Read {}

        record Bad(List<ValidationError> faults) implements Read {}
    }

    /** Reads bytes that may be anything. */
    public static Read read(byte[] json) {
        if (json.length > MOST_BYTES) {
            return bad("", json.length + " bytes", "at most " + MOST_BYTES + " are read");
        }
        JsonNode node;
        try {
            node = MAPPER.readTree(json);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            return bad(
                    "",
                    "line " + line + " is no JSON that can be taken: " + e.getOriginalMessage(),
                    "mend that line");
        } catch (IOException e) {
            return bad("", e.getMessage(), "send it again");
        }
        if (node == null || !node.isObject()) {
            return bad("", "it is no JSON object", "begin it with {");
        }
        var faults = new TreeSet<ValidationError>();
        for (ValidationMessage message : SCHEMA.validate(node)) {
            String pointer =
                    message.getInstanceLocation()
                            .toString()
                            .replace('$', ' ')
                            .trim()
                            .replace('.', '/')
                            .replace("[", "/")
                            .replace("]", "");
            faults.add(
                    new ValidationError(
                            pointer,
                            message.getMessage().replaceFirst("^[^:]*: ", ""),
                            "see change.schema.json"));
        }
        return faults.isEmpty() ? new Read.Good(document(node)) : new Read.Bad(List.copyOf(faults));
    }

    private static Read bad(String path, String what, String mend) {
        return new Read.Bad(List.of(new ValidationError(path, what, mend)));
    }

    private static ConfigurationDocument document(JsonNode node) {
        var types = new ArrayList<ConfigurationDocument.Type>();
        for (JsonNode type : node.get("tableTypes")) {
            QueryClass.Idempotence repeat =
                    StoredEnum.ofName(
                                    QueryClass.Idempotence.class,
                                    type.get("repeat")
                                            .asText()
                                            .toUpperCase(Locale.ROOT)
                                            .replace('-', '_'))
                            .orElseThrow();
            types.add(
                    new ConfigurationDocument.Type(
                            new QueryClass(
                                    type.get("name").asText(),
                                    repeat,
                                    type.get("targetMs").doubleValue(),
                                    type.path("benefit").asDouble(1),
                                    type.path("lateShare").asDouble(0),
                                    type.path("keyedWindowMs").asDouble(0),
                                    type.path("wholeFrom").asDouble(1),
                                    type.path("leastShare").asDouble(1),
                                    type.path("secondStepParts").asInt(0)),
                            type.get("queryTimeoutMs").doubleValue()));
        }
        var customers = new ArrayList<Tenant>();
        for (JsonNode customer : node.path("customers")) {
            customers.add(
                    new Tenant(
                            customer.get("name").asText(),
                            customer.get("scansPerSecond").doubleValue()));
        }
        JsonNode limits = node.get("limits");
        JsonNode budget = node.path("dispatchBudget");
        JsonNode cold = node.get("coldRule");
        var out = new TreeSet<String>();
        node.path("serversOut").forEach(server -> out.add(server.asText()));
        return new ConfigurationDocument(
                types,
                customers,
                new Deployment.Limits(
                        limits.get("dispatchesPerPart").intValue(),
                        limits.get("maxOpen").intValue(),
                        limits.path("secondCopies").booleanValue(),
                        limits.path("cancel").booleanValue(),
                        limits.path("maxComeBackMs").doubleValue()),
                budget.isObject()
                        ? new Deployment.RetryBudget(
                                budget.get("free").doubleValue(),
                                budget.get("perTaken").doubleValue(),
                                budget.get("windowMs").doubleValue())
                        : Deployment.RetryBudget.NONE,
                new Deployment.SlowStartRule(
                        cold.get("startShare").doubleValue(),
                        cold.get("warmAfterMs").doubleValue(),
                        cold.get("multiple").doubleValue(),
                        cold.get("windowMs").doubleValue()),
                out,
                node.path("discovery").asText(""),
                node.path("recording").asText(""),
                node.path("logLevel").asText("INFO"));
    }

    /** The document as JSON: the same document brings the same bytes. */
    public static byte[] write(ConfigurationDocument document) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode types = node.putArray("tableTypes");
        for (ConfigurationDocument.Type type : document.types()) {
            QueryClass facts = type.facts();
            types.addObject()
                    .put("name", facts.name())
                    .put(
                            "repeat",
                            facts.idempotence()
                                    .storedName()
                                    .toLowerCase(Locale.ROOT)
                                    .replace('_', '-'))
                    .put("targetMs", facts.latencyObjectiveMs())
                    .put("queryTimeoutMs", type.queryTimeoutMs())
                    .put("benefit", facts.priorityWeight())
                    .put("lateShare", facts.lateWeight())
                    .put("keyedWindowMs", facts.deduplicationWindowMs())
                    .put("wholeFrom", facts.completeCoverage())
                    .put("leastShare", facts.minimumCoverage())
                    .put("secondStepParts", facts.secondStepParts());
        }
        ArrayNode customers = node.putArray("customers");
        document.customers()
                .forEach(
                        tenant ->
                                customers
                                        .addObject()
                                        .put("name", tenant.name())
                                        .put("scansPerSecond", tenant.queriesPerSecond()));
        Deployment.Limits limits = document.limits();
        node.putObject("limits")
                .put("dispatchesPerPart", limits.attemptsPerPart())
                .put("maxOpen", limits.maxOpen())
                .put("secondCopies", limits.hedging())
                .put("cancel", limits.cancellation())
                .put("maxComeBackMs", limits.maxRetryAfterMs());
        if (!document.budget().equals(Deployment.RetryBudget.NONE)) {
            node.putObject("dispatchBudget")
                    .put("free", document.budget().fixed())
                    .put("perTaken", document.budget().perRequest())
                    .put("windowMs", document.budget().windowMs());
        }
        Deployment.SlowStartRule cold = document.coldRule();
        node.putObject("coldRule")
                .put("startShare", cold.startShare())
                .put("warmAfterMs", cold.warmAfterMs())
                .put("multiple", cold.overloadFactor())
                .put("windowMs", cold.windowMs());
        ArrayNode out = node.putArray("serversOut");
        document.serversOut().forEach(out::add);
        node.put("discovery", document.discovery())
                .put("recording", document.recording())
                .put("logLevel", document.logLevel());
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a document has no JSON form", e);
        }
    }
}
