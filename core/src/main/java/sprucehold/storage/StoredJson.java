package sprucehold.storage;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.PropertyNamingStrategy;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.AnnotatedField;
import com.fasterxml.jackson.databind.introspect.AnnotatedMember;
import com.fasterxml.jackson.databind.introspect.AnnotatedMethod;
import com.fasterxml.jackson.databind.introspect.AnnotatedParameter;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.QueryClass;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.StoredEnum;
import sprucehold.decision.Tenant;

/**
 * JSON form of the types of {@link sprucehold.decision} in trace files and in the output of
 * command-line tools. Files and scripts of earlier versions use these names, so the names stay when
 * a type, a component or a constant is renamed. Names that are not listed are the same in the code
 * and in JSON. Constants are written as their {@link StoredEnum#storedName}.
 *
 * <table>
 * <caption>Names in JSON</caption>
 * <tr><th>type</th><th>kind in JSON</th><th>component: key in JSON</th></tr>
 * <tr><td>QueryReceived</td><td>ScanTaken</td><td>queryClass: type, tenant: customer</td></tr>
 * <tr><td>PartReceived</td><td>PartTaken</td><td>queryNumber: scanNumber, shard: segment</td></tr>
 * <tr><td>AttemptEnded</td><td>DispatchEnded</td>
 *     <td>attemptNumber: number, outcome: ending, durationMs: tookMs</td></tr>
 * <tr><td>ClientDisconnected</td><td>ClientLeft</td><td>queryId: scanId</td></tr>
 * <tr><td>EndpointsUpdated</td><td>ListReceived</td><td>endpoints: servers</td></tr>
 * <tr><td>EndpointsUnavailable</td><td>ListUnavailable</td><td></td></tr>
 * <tr><td>HealthCheckEnded</td><td>ProbeEnded</td><td>outcome: ending, durationMs: tookMs</td></tr>
 * <tr><td>DeploymentChanged</td><td>FactsChanged</td><td>deployment: facts</td></tr>
 * <tr><td>ClusterViewChanged</td><td>OthersTold</td><td>view: others</td></tr>
 * <tr><td>WakeUp</td><td>Woken</td><td></td></tr>
 * <tr><td>SendAttempt</td><td>Dispatch</td><td>skipped: passedOver</td></tr>
 * <tr><td>CancelAttempt</td><td>Cancel</td><td>attemptNumber: number</td></tr>
 * <tr><td>AnswerQuery</td><td>Answer</td><td>queryId: scanId, complete: whole</td></tr>
 * <tr><td>RejectQuery</td><td>Throttle</td><td>queryId: scanId, retryAfterMs: comeBackMs</td></tr>
 * <tr><td>FailQuery</td><td>Abandon</td><td>queryId: scanId</td></tr>
 * <tr><td>ConsumeAllowance</td><td>Use</td><td>limit: bound</td></tr>
 * <tr><td>ScheduleWakeUp</td><td>Wake</td><td></td></tr>
 * <tr><td>CheckHealth</td><td>Probe</td><td></td></tr>
 * <tr><td>SubscribeToEndpoints</td><td>FollowList</td><td></td></tr>
 * <tr><td>LogMessage</td><td>Note</td><td>text: line</td></tr>
 * <tr><td>SharedLimit</td><td></td><td>subject: of</td></tr>
 * <tr><td>ClusterView</td><td></td><td>allowances: room, failureScores: trouble</td></tr>
 * <tr><td>Endpoint</td><td></td><td>replicaGroup: cell, state: mode</td></tr>
 * <tr><td>Tenant</td><td></td><td>queriesPerSecond: scansPerSecond</td></tr>
 * <tr><td>QueryClass</td><td></td><td>idempotence: repeat, latencyObjectiveMs: targetMs,
 *     priorityWeight: benefit, lateWeight: lateShare, deduplicationWindowMs: keyedWindowMs,
 *     completeCoverage: completeFrom, minimumCoverage: leastShare</td></tr>
 * <tr><td>Deployment</td><td></td><td>overQuotaPriority: overShareBenefit, queryClasses: tableTypes,
 *     tenants: customers, slowStart: coldRule, retryBudget: dispatchBudget,
 *     endpointSubscription: listAccess</td></tr>
 * <tr><td>Deployment.ShardLayout</td><td></td>
 *     <td>replicaGroups: cells, groupsPerShard: reach, partsPerCall: callParts</td></tr>
 * <tr><td>Deployment.Limits</td><td></td><td>attemptsPerPart: dispatchesPerPart,
 *     hedging: secondCopies, cancellation: cancel, maxRetryAfterMs: maxComeBackMs</td></tr>
 * <tr><td>Deployment.SlowStartRule</td><td></td><td>overloadFactor: multiple</td></tr>
 * <tr><td>Deployment.RetryBudget</td><td></td><td>fixed: free, perRequest: perTaken</td></tr>
 * <tr><td>Deployment.EndpointSubscription</td><td></td>
 *     <td>mustSubscribe: mustAsk, maxPollIntervalMs: askWithinMs</td></tr>
 * </table>
 */
public final class StoredJson {
    private static final Map<Class<?>, String> KINDS =
            Map.ofEntries(
                    Map.entry(Event.QueryReceived.class, "ScanTaken"),
                    Map.entry(Event.PartReceived.class, "PartTaken"),
                    Map.entry(Event.AttemptEnded.class, "DispatchEnded"),
                    Map.entry(Event.ClientDisconnected.class, "ClientLeft"),
                    Map.entry(Event.EndpointsUpdated.class, "ListReceived"),
                    Map.entry(Event.EndpointsUnavailable.class, "ListUnavailable"),
                    Map.entry(Event.HealthCheckEnded.class, "ProbeEnded"),
                    Map.entry(Event.DeploymentChanged.class, "FactsChanged"),
                    Map.entry(Event.ClusterViewChanged.class, "OthersTold"),
                    Map.entry(Event.WakeUp.class, "Woken"),
                    Map.entry(Command.SendAttempt.class, "Dispatch"),
                    Map.entry(Command.CancelAttempt.class, "Cancel"),
                    Map.entry(Command.AnswerQuery.class, "Answer"),
                    Map.entry(Command.RejectQuery.class, "Throttle"),
                    Map.entry(Command.FailQuery.class, "Abandon"),
                    Map.entry(Command.ConsumeAllowance.class, "Use"),
                    Map.entry(Command.ScheduleWakeUp.class, "Wake"),
                    Map.entry(Command.CheckHealth.class, "Probe"),
                    Map.entry(Command.SubscribeToEndpoints.class, "FollowList"),
                    Map.entry(Command.LogMessage.class, "Note"));

    private static final Map<Class<?>, Map<String, String>> KEYS = new HashMap<>();

    static {
        KEYS.put(Event.QueryReceived.class, Map.of("queryClass", "type", "tenant", "customer"));
        KEYS.put(Event.PartReceived.class, Map.of("queryNumber", "scanNumber", "shard", "segment"));
        KEYS.put(
                Event.AttemptEnded.class,
                Map.of("attemptNumber", "number", "outcome", "ending", "durationMs", "tookMs"));
        KEYS.put(Event.ClientDisconnected.class, Map.of("queryId", "scanId"));
        KEYS.put(Event.EndpointsUpdated.class, Map.of("endpoints", "servers"));
        KEYS.put(Event.HealthCheckEnded.class, Map.of("outcome", "ending", "durationMs", "tookMs"));
        KEYS.put(Event.DeploymentChanged.class, Map.of("deployment", "facts"));
        KEYS.put(Event.ClusterViewChanged.class, Map.of("view", "others"));
        KEYS.put(Command.SendAttempt.class, Map.of("skipped", "passedOver"));
        KEYS.put(Command.CancelAttempt.class, Map.of("attemptNumber", "number"));
        KEYS.put(Command.AnswerQuery.class, Map.of("queryId", "scanId", "complete", "whole"));
        KEYS.put(
                Command.RejectQuery.class,
                Map.of("queryId", "scanId", "retryAfterMs", "comeBackMs"));
        KEYS.put(Command.FailQuery.class, Map.of("queryId", "scanId"));
        KEYS.put(Command.ConsumeAllowance.class, Map.of("limit", "bound"));
        KEYS.put(Command.LogMessage.class, Map.of("text", "line"));
        KEYS.put(SharedLimit.class, Map.of("subject", "of"));
        KEYS.put(ClusterView.class, Map.of("allowances", "room", "failureScores", "trouble"));
        KEYS.put(Endpoint.class, Map.of("replicaGroup", "cell", "state", "mode"));
        KEYS.put(Tenant.class, Map.of("queriesPerSecond", "scansPerSecond"));
        KEYS.put(
                QueryClass.class,
                Map.of(
                        "idempotence", "repeat",
                        "latencyObjectiveMs", "targetMs",
                        "priorityWeight", "benefit",
                        "lateWeight", "lateShare",
                        "deduplicationWindowMs", "keyedWindowMs",
                        "completeCoverage", "completeFrom",
                        "minimumCoverage", "leastShare"));
        KEYS.put(
                Deployment.class,
                Map.of(
                        "overQuotaPriority", "overShareBenefit",
                        "queryClasses", "tableTypes",
                        "tenants", "customers",
                        "slowStart", "coldRule",
                        "retryBudget", "dispatchBudget",
                        "endpointSubscription", "listAccess"));
        KEYS.put(
                Deployment.ShardLayout.class,
                Map.of(
                        "replicaGroups", "cells",
                        "groupsPerShard", "reach",
                        "partsPerCall", "callParts"));
        KEYS.put(
                Deployment.Limits.class,
                Map.of(
                        "attemptsPerPart", "dispatchesPerPart",
                        "hedging", "secondCopies",
                        "cancellation", "cancel",
                        "maxRetryAfterMs", "maxComeBackMs"));
        KEYS.put(Deployment.SlowStartRule.class, Map.of("overloadFactor", "multiple"));
        KEYS.put(Deployment.RetryBudget.class, Map.of("fixed", "free", "perRequest", "perTaken"));
        KEYS.put(
                Deployment.EndpointSubscription.class,
                Map.of("mustSubscribe", "mustAsk", "maxPollIntervalMs", "askWithinMs"));
    }

    private StoredJson() {}

    /** Returns a builder of mappers that read and write the JSON form described by this class. */
    public static JsonMapper.Builder mapperBuilder() {
        var sharedLimitModule = new SimpleModule();
        sharedLimitModule.addKeySerializer(SharedLimit.class, new SharedLimitKey());
        return JsonMapper.builder()
                .propertyNamingStrategy(new StoredKeys())
                .annotationIntrospector(new StoredConstants())
                .addModule(sharedLimitModule);
    }

    /** Returns the kind of an event or a command in JSON lines. */
    public static String kind(Object eventOrCommand) {
        return KINDS.get(eventOrCommand.getClass());
    }

    private static final class StoredKeys extends PropertyNamingStrategy {
        private static final long serialVersionUID = 1L;

        @Override
        public String nameForField(MapperConfig<?> config, AnnotatedField field, String name) {
            return key(field, name);
        }

        @Override
        public String nameForGetterMethod(
                MapperConfig<?> config, AnnotatedMethod method, String name) {
            return key(method, name);
        }

        @Override
        public String nameForConstructorParameter(
                MapperConfig<?> config, AnnotatedParameter parameter, String name) {
            return key(parameter, name);
        }

        private static String key(AnnotatedMember member, String name) {
            return KEYS.getOrDefault(member.getDeclaringClass(), Map.of()).getOrDefault(name, name);
        }
    }

    private static final class StoredConstants extends JacksonAnnotationIntrospector {
        private static final long serialVersionUID = 1L;

        @Override
        public String[] findEnumValues(
                MapperConfig<?> config, AnnotatedClass type, Enum<?>[] constants, String[] names) {
            String[] stored = super.findEnumValues(config, type, constants, names);
            for (int i = 0; i < constants.length; i++) {
                if (constants[i] instanceof StoredEnum constant) {
                    stored[i] = constant.storedName();
                }
            }
            return stored;
        }
    }

    /** Writes the keys of the allowances of a {@link ClusterView}. */
    private static final class SharedLimitKey extends JsonSerializer<SharedLimit> {
        @Override
        public void serialize(
                SharedLimit limit, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            generator.writeFieldName(
                    "Bound[kind=" + limit.kind().storedName() + ", of=" + limit.subject() + "]");
        }
    }
}
