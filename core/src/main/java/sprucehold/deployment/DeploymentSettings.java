package sprucehold.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/**
 * All that is read of a deployment's settings. Unknown fields are skipped, absent ones are zero or
 * empty.
 *
 * @param deployment what bears on decisions
 * @param shards how many segments there are
 * @param longestDeadlineMs the longest query timeout of any table type
 * @param deadlinesMs the query timeout of each table type, in their order
 * @param loadFields the values of a load report, in the order of the bench's wire; empty where
 *     there are none
 * @param loadByHealthCheck whether load reports come with probes
 */
public record DeploymentSettings(
        Deployment deployment,
        ConnectionSettings connections,
        int shards,
        double longestDeadlineMs,
        List<Double> deadlinesMs,
        List<String> loadFields,
        boolean loadByHealthCheck) {

    /**
     * The settings that a gatherer is to serve by; what they lack or contradict is one error that
     * names the field.
     */
    public static DeploymentSettings checked(JsonNode settings) throws InvalidSettingsException {
        DeploymentSettingsValidator.check(settings);
        return read(settings);
    }

    public static DeploymentSettings read(JsonNode settings) throws InvalidSettingsException {
        JsonNode family = settings.path("familyInfo");
        JsonNode limits = settings.path("limits");
        JsonNode feedback = settings.path("feedback");
        var types = new ArrayList<QueryClass>();
        var timeouts = new ArrayList<Double>();
        double longestTimeout = 0;
        for (JsonNode node : settings.path("classes")) {
            types.add(tableType(node, family, types.size()));
            timeouts.add(node.path("giveUpMs").doubleValue());
            longestTimeout = Math.max(longestTimeout, node.path("giveUpMs").doubleValue());
        }
        var customers = new ArrayList<Tenant>();
        for (JsonNode node : settings.path("tenants")) {
            customers.add(
                    new Tenant(
                            node.path("name").asText(), node.path("allowancePerS").doubleValue()));
        }
        var loadFields = new ArrayList<String>();
        if (!feedback.path("source").asText().equals("none")) {
            feedback.path("fields").forEach(field -> loadFields.add(field.asText()));
        }
        return new DeploymentSettings(
                deployment(settings, List.copyOf(types), List.copyOf(customers)),
                new ConnectionSettings(
                        limits.path("dialTimeoutMs").doubleValue(),
                        limits.path("idleCloseMs").doubleValue(),
                        Math.max(1, limits.path("streamsPerConn").asInt(1))),
                family.path("ranges").intValue(),
                longestTimeout,
                List.copyOf(timeouts),
                List.copyOf(loadFields),
                feedback.path("source").asText().equals("probe"));
    }

    private static Deployment deployment(
            JsonNode settings, List<QueryClass> types, List<Tenant> customers) {
        JsonNode family = settings.path("familyInfo");
        JsonNode limits = settings.path("limits");
        JsonNode rules = settings.path("safety");
        return new Deployment(
                Math.max(1, settings.path("balancers").asInt(1)),
                settings.path("locality").asText(),
                settings.path("quantumMs").doubleValue(),
                settings.path("overShareWorth").asDouble(1),
                types,
                customers,
                new Deployment.ShardLayout(
                        Math.max(1, family.path("sets").asInt(1)),
                        Math.max(1, family.path("width").asInt(1)),
                        Math.max(1, family.path("bundleMax").asInt(1))),
                new Deployment.Limits(
                        Math.max(1, limits.path("sendCap").asInt(1)),
                        limits.path("maxOpen").asInt(Integer.MAX_VALUE),
                        limits.path("secondCopies").booleanValue(),
                        limits.path("cancel").booleanValue(),
                        limits.path("retryAfter").booleanValue()
                                ? limits.path("maxRetryAfterMs").doubleValue()
                                : 0),
                new Deployment.SlowStartRule(
                        rules.path("coldFrom").asDouble(1),
                        rules.path("coldMs").doubleValue(),
                        rules.path("fallMultiple").asDouble(1),
                        rules.path("overloadForMs").doubleValue()),
                rules.has("countedOverMs")
                        ? new Deployment.RetryBudget(
                                rules.path("budgetFree").doubleValue(),
                                rules.path("extraRatio").doubleValue(),
                                rules.path("countedOverMs").doubleValue())
                        : Deployment.RetryBudget.NONE,
                new Deployment.EndpointSubscription(
                        settings.path("discovery").asText().equals("subscribe"),
                        rules.path("mustAskInMs").doubleValue()));
    }

    private static QueryClass tableType(JsonNode node, JsonNode family, int index)
            throws InvalidSettingsException {
        QueryClass.Idempotence repeat =
                switch (node.path("semantics").asText()) {
                    case "retryable" -> QueryClass.Idempotence.IDEMPOTENT;
                    case "dedup" -> QueryClass.Idempotence.DEDUPLICATED;
                    case "fragile" -> QueryClass.Idempotence.NON_IDEMPOTENT;
                    default ->
                            throw new InvalidSettingsException(
                                    "unknown semantics " + node.path("semantics"));
                };
        return new QueryClass(
                node.path("name").asText(),
                repeat,
                node.path("aimMs").doubleValue(),
                node.path("worth").asDouble(1),
                node.path("lateValue").doubleValue(),
                node.path("windowMs").doubleValue(),
                family.path("completeFrom").path(index).asDouble(1),
                family.path("leastShare").path(index).asDouble(1),
                family.path("classFetch").path(index).intValue());
    }
}
