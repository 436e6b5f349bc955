package sprucehold.change.document;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedSet;
import java.util.TreeSet;
import sprucehold.change.document.ConfigurationDocument.QueryClassSettings;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.StoredEnum;
import sprucehold.decision.Tenant;

/**
 * Reads and writes configuration documents as JSON that conforms to {@code
 * deploy/change.schema.json}. Outside this class, the names of JSON keys appear only in the paths
 * of errors and changes.
 *
 * <table>
 * <caption>JSON keys and their names in the code</caption>
 * <tr><th>JSON</th><th>code</th></tr>
 * <tr><td>tableTypes[]</td><td>{@link ConfigurationDocument#queryClasses()}</td></tr>
 * <tr><td>- name</td><td>{@link QueryClass#name()}</td></tr>
 * <tr><td>- repeat: replayable, keyed, non-replayable</td><td>{@link
 *     QueryClass#idempotence()}</td></tr>
 * <tr><td>- targetMs</td><td>{@link QueryClass#latencyObjectiveMs()}</td></tr>
 * <tr><td>- queryTimeoutMs</td><td>{@link QueryClassSettings#deadlineMs()}</td></tr>
 * <tr><td>- benefit</td><td>{@link QueryClass#priorityWeight()}</td></tr>
 * <tr><td>- lateShare</td><td>{@link QueryClass#lateWeight()}</td></tr>
 * <tr><td>- keyedWindowMs</td><td>{@link QueryClass#deduplicationWindowMs()}</td></tr>
 * <tr><td>- wholeFrom</td><td>{@link QueryClass#completeCoverage()}</td></tr>
 * <tr><td>- leastShare</td><td>{@link QueryClass#minimumCoverage()}</td></tr>
 * <tr><td>- secondStepParts</td><td>{@link QueryClass#secondStepParts()}</td></tr>
 * <tr><td>customers[]</td><td>{@link ConfigurationDocument#tenants()}</td></tr>
 * <tr><td>- name, scansPerSecond</td><td>{@link Tenant}</td></tr>
 * <tr><td>limits</td><td>{@link Deployment.Limits}</td></tr>
 * <tr><td>- dispatchesPerPart</td><td>{@link Deployment.Limits#attemptsPerPart()}</td></tr>
 * <tr><td>- maxOpen</td><td>{@link Deployment.Limits#maxOpen()}</td></tr>
 * <tr><td>- secondCopies</td><td>{@link Deployment.Limits#hedging()}</td></tr>
 * <tr><td>- cancel</td><td>{@link Deployment.Limits#cancellation()}</td></tr>
 * <tr><td>- maxComeBackMs</td><td>{@link Deployment.Limits#maxRetryAfterMs()}</td></tr>
 * <tr><td>dispatchBudget</td><td>{@link Deployment.RetryBudget}; left out for none</td></tr>
 * <tr><td>- free, perTaken, windowMs</td><td>fixed, perRequest, windowMs</td></tr>
 * <tr><td>coldRule</td><td>{@link Deployment.SlowStartRule}</td></tr>
 * <tr><td>- startShare, warmAfterMs, multiple, windowMs</td><td>startShare, warmAfterMs,
 *     overloadFactor, windowMs</td></tr>
 * <tr><td>serversOut[]</td><td>{@link ConfigurationDocument#drainedServers()}</td></tr>
 * <tr><td>discovery, recording, logLevel</td><td>the same names</td></tr>
 * </table>
 */
public final class DocumentReader {
    /** Longest document that is read, in bytes. */
    public static final int MAX_BYTES = DocumentSchema.MAX_BYTES;

    private DocumentReader() {}

    /** A document, or all violations of the JSON schema. */
    public sealed interface ReadResult {
        /**
         * The JSON conforms to the schema; its values may still contradict each other.
         *
         * @param document the document that was read
         */
        record Valid(ConfigurationDocument document) implements ReadResult {}

        /**
         * The bytes are not a JSON document that conforms to the schema.
         *
         * @param errors all errors, ordered by path
         */
        record Invalid(List<ValidationError> errors) implements ReadResult {}
    }

    /** Reads a document from untrusted bytes. */
    public static ReadResult read(byte[] json) {
        DocumentSchema.Parsed parsed = DocumentSchema.parse(json);
        if (parsed instanceof DocumentSchema.Parsed.Invalid invalid) {
            return new ReadResult.Invalid(invalid.errors());
        }
        return new ReadResult.Valid(toDocument(((DocumentSchema.Parsed.Conforming) parsed).node()));
    }

    private static ConfigurationDocument toDocument(JsonNode node) {
        return new ConfigurationDocument(
                toQueryClasses(node.get("tableTypes")),
                toTenants(node.path("customers")),
                toLimits(node.get("limits")),
                toRetryBudget(node.path("dispatchBudget")),
                toSlowStart(node.get("coldRule")),
                toServerNames(node.path("serversOut")),
                node.path("discovery").asText(""),
                node.path("recording").asText(""),
                node.path("logLevel").asText("INFO"));
    }

    private static List<QueryClassSettings> toQueryClasses(JsonNode nodes) {
        var queryClasses = new ArrayList<QueryClassSettings>();
        for (JsonNode node : nodes) {
            queryClasses.add(
                    new QueryClassSettings(
                            toQueryClass(node), node.get("queryTimeoutMs").doubleValue()));
        }
        return queryClasses;
    }

    private static QueryClass toQueryClass(JsonNode node) {
        return new QueryClass(
                node.get("name").asText(),
                toIdempotence(node.get("repeat").asText()),
                node.get("targetMs").doubleValue(),
                node.path("benefit").asDouble(1),
                node.path("lateShare").asDouble(0),
                node.path("keyedWindowMs").asDouble(0),
                node.path("wholeFrom").asDouble(1),
                node.path("leastShare").asDouble(1),
                node.path("secondStepParts").asInt(0));
    }

    private static QueryClass.Idempotence toIdempotence(String documentName) {
        String storedName = documentName.toUpperCase(Locale.ROOT).replace('-', '_');
        return StoredEnum.fromStoredName(QueryClass.Idempotence.class, storedName).orElseThrow();
    }

    /** Returns the name of an idempotence in documents. */
    static String documentName(QueryClass.Idempotence idempotence) {
        return idempotence.storedName().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static List<Tenant> toTenants(JsonNode nodes) {
        var tenants = new ArrayList<Tenant>();
        for (JsonNode node : nodes) {
            tenants.add(
                    new Tenant(
                            node.get("name").asText(), node.get("scansPerSecond").doubleValue()));
        }
        return tenants;
    }

    private static Deployment.Limits toLimits(JsonNode node) {
        return new Deployment.Limits(
                node.get("dispatchesPerPart").intValue(),
                node.get("maxOpen").intValue(),
                node.path("secondCopies").booleanValue(),
                node.path("cancel").booleanValue(),
                node.path("maxComeBackMs").doubleValue());
    }

    private static Deployment.RetryBudget toRetryBudget(JsonNode node) {
        if (!node.isObject()) {
            return Deployment.RetryBudget.NONE;
        }
        return new Deployment.RetryBudget(
                node.get("free").doubleValue(),
                node.get("perTaken").doubleValue(),
                node.get("windowMs").doubleValue());
    }

    private static Deployment.SlowStartRule toSlowStart(JsonNode node) {
        return new Deployment.SlowStartRule(
                node.get("startShare").doubleValue(),
                node.get("warmAfterMs").doubleValue(),
                node.get("multiple").doubleValue(),
                node.get("windowMs").doubleValue());
    }

    private static SortedSet<String> toServerNames(JsonNode nodes) {
        var names = new TreeSet<String>();
        nodes.forEach(name -> names.add(name.asText()));
        return names;
    }

    /** Returns the document as JSON; equal documents result in the same bytes. */
    public static byte[] write(ConfigurationDocument document) {
        ObjectNode node = DocumentSchema.STRICT_MAPPER.createObjectNode();
        putQueryClasses(node, document);
        putTenants(node, document);
        putLimits(node, document.limits());
        putRetryBudget(node, document.retryBudget());
        putSlowStart(node, document.slowStart());
        ArrayNode drained = node.putArray("serversOut");
        document.drainedServers().forEach(drained::add);
        node.put("discovery", document.discovery())
                .put("recording", document.recording())
                .put("logLevel", document.logLevel());
        try {
            return DocumentSchema.STRICT_MAPPER
                    .writerWithDefaultPrettyPrinter()
                    .writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the configuration document as JSON", e);
        }
    }

    private static void putQueryClasses(ObjectNode node, ConfigurationDocument document) {
        ArrayNode nodes = node.putArray("tableTypes");
        for (QueryClassSettings settings : document.queryClasses()) {
            QueryClass queryClass = settings.queryClass();
            nodes.addObject()
                    .put("name", queryClass.name())
                    .put("repeat", documentName(queryClass.idempotence()))
                    .put("targetMs", queryClass.latencyObjectiveMs())
                    .put("queryTimeoutMs", settings.deadlineMs())
                    .put("benefit", queryClass.priorityWeight())
                    .put("lateShare", queryClass.lateWeight())
                    .put("keyedWindowMs", queryClass.deduplicationWindowMs())
                    .put("wholeFrom", queryClass.completeCoverage())
                    .put("leastShare", queryClass.minimumCoverage())
                    .put("secondStepParts", queryClass.secondStepParts());
        }
    }

    private static void putTenants(ObjectNode node, ConfigurationDocument document) {
        ArrayNode nodes = node.putArray("customers");
        for (Tenant tenant : document.tenants()) {
            nodes.addObject()
                    .put("name", tenant.name())
                    .put("scansPerSecond", tenant.queriesPerSecond());
        }
    }

    private static void putLimits(ObjectNode node, Deployment.Limits limits) {
        node.putObject("limits")
                .put("dispatchesPerPart", limits.attemptsPerPart())
                .put("maxOpen", limits.maxOpen())
                .put("secondCopies", limits.hedging())
                .put("cancel", limits.cancellation())
                .put("maxComeBackMs", limits.maxRetryAfterMs());
    }

    private static void putRetryBudget(ObjectNode node, Deployment.RetryBudget budget) {
        if (!budget.equals(Deployment.RetryBudget.NONE)) {
            node.putObject("dispatchBudget")
                    .put("free", budget.fixed())
                    .put("perTaken", budget.perRequest())
                    .put("windowMs", budget.windowMs());
        }
    }

    private static void putSlowStart(ObjectNode node, Deployment.SlowStartRule slowStart) {
        node.putObject("coldRule")
                .put("startShare", slowStart.startShare())
                .put("warmAfterMs", slowStart.warmAfterMs())
                .put("multiple", slowStart.overloadFactor())
                .put("windowMs", slowStart.windowMs());
    }
}
