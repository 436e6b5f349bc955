package sprucehold.deployment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;

/**
 * Settings of a deployment. Unknown keys are ignored. Absent keys are zero, empty or without
 * effect. The table maps the keys to the terms of this code ({@code deployment} is a {@link
 * Deployment}):
 *
 * <table>
 *   <caption>Keys of the settings</caption>
 *   <tr><th>key</th><th>term in the code</th></tr>
 *   <tr><td>{@code balancers}</td><td>{@code deployment.gatherers}</td></tr>
 *   <tr><td>{@code locality}</td><td>{@code deployment.zone}</td></tr>
 *   <tr><td>{@code quantumMs}</td><td>{@code deployment.tickMs}</td></tr>
 *   <tr><td>{@code overShareWorth}</td><td>{@code deployment.overQuotaPriority}</td></tr>
 *   <tr><td>{@code discovery}: {@code subscribe}</td>
 *       <td>{@code deployment.endpointSubscription.mustSubscribe}</td></tr>
 *   <tr><td>{@code classes[]}</td><td>{@code deployment.queryClasses}: {@link QueryClass}</td></tr>
 *   <tr><td>{@code classes[].name}</td><td>{@code name}</td></tr>
 *   <tr><td>{@code classes[].semantics}: {@code retryable}, {@code dedup}, {@code fragile}</td>
 *       <td>{@code idempotence}: {@code IDEMPOTENT}, {@code DEDUPLICATED}, {@code
 *       NON_IDEMPOTENT}</td></tr>
 *   <tr><td>{@code classes[].aimMs}</td><td>{@code latencyObjectiveMs}</td></tr>
 *   <tr><td>{@code classes[].giveUpMs}</td><td>{@code deadlinesMs} of the settings</td></tr>
 *   <tr><td>{@code classes[].worth}</td><td>{@code priorityWeight}</td></tr>
 *   <tr><td>{@code classes[].lateValue}</td><td>{@code lateWeight}</td></tr>
 *   <tr><td>{@code classes[].windowMs}</td><td>{@code deduplicationWindowMs}</td></tr>
 *   <tr><td>{@code familyInfo.completeFrom[]}, one a class</td>
 *       <td>{@code completeCoverage}</td></tr>
 *   <tr><td>{@code familyInfo.leastShare[]}, one a class</td><td>{@code minimumCoverage}</td></tr>
 *   <tr><td>{@code familyInfo.classFetch[]}, one a class</td><td>{@code secondStepParts}</td></tr>
 *   <tr><td>{@code familyInfo.ranges}</td><td>{@code shards} of the settings</td></tr>
 *   <tr><td>{@code familyInfo.sets}</td><td>{@code deployment.layout.replicaGroups}</td></tr>
 *   <tr><td>{@code familyInfo.width}</td><td>{@code deployment.layout.groupsPerShard}</td></tr>
 *   <tr><td>{@code familyInfo.bundleMax}</td><td>{@code deployment.layout.partsPerCall}</td></tr>
 *   <tr><td>{@code tenants[].name}, {@code allowancePerS}</td>
 *       <td>{@code deployment.tenants}: {@link Tenant}</td></tr>
 *   <tr><td>{@code limits.sendCap}</td><td>{@code deployment.limits.attemptsPerPart}</td></tr>
 *   <tr><td>{@code limits.maxOpen}</td><td>{@code deployment.limits.maxOpen}</td></tr>
 *   <tr><td>{@code limits.secondCopies}</td><td>{@code deployment.limits.hedging}</td></tr>
 *   <tr><td>{@code limits.cancel}</td><td>{@code deployment.limits.cancellation}</td></tr>
 *   <tr><td>{@code limits.retryAfter} and {@code limits.maxRetryAfterMs}</td>
 *       <td>{@code deployment.limits.maxRetryAfterMs}</td></tr>
 *   <tr><td>{@code limits.dialTimeoutMs}</td><td>{@code connections.connectTimeoutMs}</td></tr>
 *   <tr><td>{@code limits.idleCloseMs}</td><td>{@code connections.idleTimeoutMs}</td></tr>
 *   <tr><td>{@code limits.streamsPerConn}</td><td>{@code connections.maxPartsInFlight}</td></tr>
 *   <tr><td>{@code safety.coldFrom}</td><td>{@code deployment.slowStart.startShare}</td></tr>
 *   <tr><td>{@code safety.coldMs}</td><td>{@code deployment.slowStart.warmAfterMs}</td></tr>
 *   <tr><td>{@code safety.fallMultiple}</td>
 *       <td>{@code deployment.slowStart.overloadFactor}</td></tr>
 *   <tr><td>{@code safety.overloadForMs}</td><td>{@code deployment.slowStart.windowMs}</td></tr>
 *   <tr><td>{@code safety.budgetFree}</td><td>{@code deployment.retryBudget.fixed}</td></tr>
 *   <tr><td>{@code safety.extraRatio}</td><td>{@code deployment.retryBudget.perRequest}</td></tr>
 *   <tr><td>{@code safety.countedOverMs}</td><td>{@code deployment.retryBudget.windowMs}; if
 *       absent, the budget is unlimited</td></tr>
 *   <tr><td>{@code safety.mustAskInMs}</td>
 *       <td>{@code deployment.endpointSubscription.maxPollIntervalMs}</td></tr>
 *   <tr><td>{@code feedback.source}: {@code none}, {@code probe}, others</td>
 *       <td>no load reports; {@code loadByHealthCheck}; load reports with answers</td></tr>
 *   <tr><td>{@code feedback.fields[]}</td><td>{@code loadFields}</td></tr>
 * </table>
 *
 * @param deployment settings that affect decisions
 * @param connections settings of connections to shard servers
 * @param shards number of shards
 * @param longestDeadlineMs longest deadline of any query class, in milliseconds
 * @param deadlinesMs deadline of each query class in milliseconds, in the order of the classes
 * @param loadFields names of the values of a load report, in the order of the simulation's
 *     messages; empty if there are no load reports
 * @param loadByHealthCheck whether load reports are part of the responses to health checks
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
     * Validates and reads the settings that a gatherer will use.
     *
     * @throws InvalidSettingsException if a field is missing, invalid or contradicts another; the
     *     message names the first such field
     */
    public static DeploymentSettings readValidated(JsonNode settings)
            throws InvalidSettingsException {
        DeploymentSettingsValidator.check(settings);
        return readUnvalidated(settings);
    }

    /**
     * Reads the settings without validation.
     *
     * @throws InvalidSettingsException if the semantics of a query class are unknown
     */
    public static DeploymentSettings readUnvalidated(JsonNode settings)
            throws InvalidSettingsException {
        JsonNode feedback = settings.path("feedback");
        List<Double> deadlinesMs = deadlinesMs(settings);
        return new DeploymentSettings(
                deployment(settings),
                connections(settings.path("limits")),
                settings.path("familyInfo").path("ranges").intValue(),
                deadlinesMs.stream().reduce(0.0, Math::max),
                deadlinesMs,
                loadFields(feedback),
                feedback.path("source").asText().equals("probe"));
    }

    private static List<Double> deadlinesMs(JsonNode settings) {
        var deadlinesMs = new ArrayList<Double>();
        for (JsonNode node : settings.path("classes")) {
            deadlinesMs.add(node.path("giveUpMs").doubleValue());
        }
        return List.copyOf(deadlinesMs);
    }

    private static ConnectionSettings connections(JsonNode limits) {
        return new ConnectionSettings(
                limits.path("dialTimeoutMs").doubleValue(),
                limits.path("idleCloseMs").doubleValue(),
                Math.max(1, limits.path("streamsPerConn").asInt(1)));
    }

    private static List<String> loadFields(JsonNode feedback) {
        var loadFields = new ArrayList<String>();
        if (!feedback.path("source").asText().equals("none")) {
            feedback.path("fields").forEach(field -> loadFields.add(field.asText()));
        }
        return List.copyOf(loadFields);
    }

    private static Deployment deployment(JsonNode settings) throws InvalidSettingsException {
        JsonNode safety = settings.path("safety");
        return new Deployment(
                Math.max(1, settings.path("balancers").asInt(1)),
                settings.path("locality").asText(),
                settings.path("quantumMs").doubleValue(),
                settings.path("overShareWorth").asDouble(1),
                queryClasses(settings),
                tenants(settings),
                layout(settings.path("familyInfo")),
                limits(settings.path("limits")),
                slowStart(safety),
                retryBudget(safety),
                new Deployment.EndpointSubscription(
                        settings.path("discovery").asText().equals("subscribe"),
                        safety.path("mustAskInMs").doubleValue()));
    }

    private static List<QueryClass> queryClasses(JsonNode settings)
            throws InvalidSettingsException {
        JsonNode family = settings.path("familyInfo");
        var queryClasses = new ArrayList<QueryClass>();
        for (JsonNode node : settings.path("classes")) {
            queryClasses.add(queryClass(node, family, queryClasses.size()));
        }
        return List.copyOf(queryClasses);
    }

    private static QueryClass queryClass(JsonNode node, JsonNode family, int index)
            throws InvalidSettingsException {
        return new QueryClass(
                node.path("name").asText(),
                idempotence(node.path("semantics")),
                node.path("aimMs").doubleValue(),
                node.path("worth").asDouble(1),
                node.path("lateValue").doubleValue(),
                node.path("windowMs").doubleValue(),
                family.path("completeFrom").path(index).asDouble(1),
                family.path("leastShare").path(index).asDouble(1),
                family.path("classFetch").path(index).intValue());
    }

    private static QueryClass.Idempotence idempotence(JsonNode semantics)
            throws InvalidSettingsException {
        return switch (semantics.asText()) {
            case "retryable" -> QueryClass.Idempotence.IDEMPOTENT;
            case "dedup" -> QueryClass.Idempotence.DEDUPLICATED;
            case "fragile" -> QueryClass.Idempotence.NON_IDEMPOTENT;
            default -> throw new InvalidSettingsException("unknown semantics " + semantics);
        };
    }

    private static List<Tenant> tenants(JsonNode settings) {
        var tenants = new ArrayList<Tenant>();
        for (JsonNode node : settings.path("tenants")) {
            tenants.add(
                    new Tenant(
                            node.path("name").asText(), node.path("allowancePerS").doubleValue()));
        }
        return List.copyOf(tenants);
    }

    private static Deployment.ShardLayout layout(JsonNode family) {
        return new Deployment.ShardLayout(
                Math.max(1, family.path("sets").asInt(1)),
                Math.max(1, family.path("width").asInt(1)),
                Math.max(1, family.path("bundleMax").asInt(1)));
    }

    private static Deployment.Limits limits(JsonNode limits) {
        boolean sendsRetryAfter = limits.path("retryAfter").booleanValue();
        return new Deployment.Limits(
                Math.max(1, limits.path("sendCap").asInt(1)),
                limits.path("maxOpen").asInt(Integer.MAX_VALUE),
                limits.path("secondCopies").booleanValue(),
                limits.path("cancel").booleanValue(),
                sendsRetryAfter ? limits.path("maxRetryAfterMs").doubleValue() : 0);
    }

    private static Deployment.SlowStartRule slowStart(JsonNode safety) {
        return new Deployment.SlowStartRule(
                safety.path("coldFrom").asDouble(1),
                safety.path("coldMs").doubleValue(),
                safety.path("fallMultiple").asDouble(1),
                safety.path("overloadForMs").doubleValue());
    }

    private static Deployment.RetryBudget retryBudget(JsonNode safety) {
        if (!safety.has("countedOverMs")) {
            return Deployment.RetryBudget.NONE;
        }
        return new Deployment.RetryBudget(
                safety.path("budgetFree").doubleValue(),
                safety.path("extraRatio").doubleValue(),
                safety.path("countedOverMs").doubleValue());
    }
}
