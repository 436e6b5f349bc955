package sprucehold.simulation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.LoadReport;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Tenant;
import sprucehold.deployment.DeploymentSettings;
import sprucehold.deployment.InvalidSettingsException;

/**
 * Reads the messages of the simulation. An object of this class reads the events of one instance
 * and stores the deployment of that instance; the methods for a whole batch are static. Unknown
 * fields are skipped, absent ones are zero or empty.
 *
 * <p>A batch contains the simulated time {@code tsMs} in milliseconds. Its {@code parts} contain,
 * for each instance, the instance's number {@code who} and its messages {@code msgs}. A message is
 * an object with one field, whose name is the message's name and whose value contains the message's
 * fields.
 *
 * <table>
 * <caption>Names in the wire format</caption>
 * <tr><th>wire</th><th>type or field in the source</th></tr>
 * <tr><td>{@code PowerOn}: {@code rngSeed}, {@code params}</td>
 *     <td>{@link MessageKind#START}: seed, {@link DeploymentSettings}</td></tr>
 * <tr><td>{@code CrashNow}</td><td>{@link MessageKind#CRASH}</td></tr>
 * <tr><td>{@code Table}: {@code slot}, {@code hosts}</td>
 *     <td>{@link MessageKind#ENDPOINT_LIST}: number of the list, list of {@link Endpoint}</td></tr>
 * <tr><td>a host's {@code server}, {@code place}, {@code site}, {@code bornMs}, {@code mode}</td>
 *     <td>{@link Endpoint}: server, replicaGroup, zone, startedAtMs, state</td></tr>
 * <tr><td>modes {@code Running}, {@code Stopping}, {@code Deleted}</td>
 *     <td>{@link Endpoint.State}: RUNNING, DRAINING, GONE</td></tr>
 * <tr><td>{@code Order} with {@code rangeNo} below 0: {@code id}, {@code wholeNo}, {@code kind},
 *     {@code realm}, {@code timeBudgetMs}</td>
 *     <td>{@link Event.QueryReceived}: id, number, queryClass, tenant, timeLeftMs</td></tr>
 * <tr><td>{@code Order} with {@code rangeNo} from 0: {@code id}, {@code wholeNo}, {@code rangeNo},
 *     {@code measure}</td>
 *     <td>{@link Event.PartReceived}: id, queryNumber, shard, weight</td></tr>
 * <tr><td>{@code Outcome}: {@code id}, {@code sendNo}, {@code rc}, {@code elapsedMs}, {@code
 *     stats}</td>
 *     <td>{@link Event.AttemptEnded}: partId, attemptNumber, outcome, durationMs, load</td></tr>
 * <tr><td>{@code rc} 0, 13, 8, 4, 14, 10, 1, 9</td>
 *     <td>{@link AttemptOutcome}: COMPLETED, ERROR, OVERLOADED, TIMED_OUT, UNREACHABLE, RESET,
 *     CANCELLED, NEVER_SENT</td></tr>
 * <tr><td>{@code stats}: {@code rif}, {@code q}, {@code busy}, in the order that the
 *     settings define</td><td>{@link LoadReport}: held, queued, busy</td></tr>
 * <tr><td>{@code Aborted}: {@code id}</td><td>{@link Event.ClientDisconnected}: queryId</td></tr>
 * <tr><td>{@code Registry} of kind {@code unavailable}</td>
 *     <td>{@link Event.EndpointsUnavailable}</td></tr>
 * <tr><td>{@code Registry} of kind {@code update} or another: {@code slot}</td>
 *     <td>{@link Event.EndpointsUpdated}, complete unless it is an update: endpoints</td></tr>
 * <tr><td>{@code CheckResult}: {@code server}, {@code rc}, {@code elapsedMs}, {@code stats}</td>
 *     <td>{@link Event.HealthCheckEnded}: server, outcome, durationMs, load</td></tr>
 * <tr><td>{@code Bell}</td><td>{@link Event.WakeUp}</td></tr>
 * <tr><td>{@code Flowing}, {@code Peer}</td><td>none: they have no meaning for a gatherer</td></tr>
 * </table>
 */
final class WireReader {
    /** Kind of a message. */
    enum MessageKind {
        /** Starts an instance, which replaces a running one with the same number. */
        START,
        /** Removes an instance together with its state. */
        CRASH,
        /** Defines a numbered endpoint list, to which later events of any instance refer. */
        ENDPOINT_LIST,
        /** Contains an event of a running instance. */
        EVENT
    }

    /** A message with its fields; only this class reads the fields. */
    record Message(String wireName, JsonNode fields) {
        MessageKind kind() {
            return switch (wireName) {
                case "PowerOn" -> MessageKind.START;
                case "CrashNow" -> MessageKind.CRASH;
                case "Table" -> MessageKind.ENDPOINT_LIST;
                default -> MessageKind.EVENT;
            };
        }
    }

    private static final ObjectReader JSON =
            new ObjectMapper().reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final DeploymentSettings settings;
    private final Map<String, QueryClass> queryClasses = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();

    /** Creates a reader for the instance that a message starts. */
    WireReader(Message start) throws MalformedBatchException {
        try {
            settings = DeploymentSettings.readUnvalidated(start.fields().path("params"));
        } catch (InvalidSettingsException e) {
            throw new MalformedBatchException(e.getMessage());
        }
        settings.deployment()
                .queryClasses()
                .forEach(queryClass -> queryClasses.put(queryClass.name(), queryClass));
        settings.deployment().tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
    }

    /** Reads a batch; checks only its outermost structure. */
    static JsonNode batch(String line) throws MalformedBatchException {
        JsonNode batch;
        try {
            batch = JSON.readTree(line);
        } catch (JsonProcessingException e) {
            throw new MalformedBatchException("input is not JSON: " + e.getOriginalMessage());
        }
        if (batch == null || !batch.path("tsMs").isNumber() || !batch.path("parts").isArray()) {
            throw new MalformedBatchException("a batch needs tsMs and parts");
        }
        return batch;
    }

    /** Returns the simulated time of a batch, in milliseconds. */
    static double timeMs(JsonNode batch) {
        return batch.get("tsMs").doubleValue();
    }

    /** Returns the parts of a batch, each for one instance. */
    static Iterable<JsonNode> parts(JsonNode batch) {
        return batch.get("parts");
    }

    /** Returns the number of the instance that a part of a batch belongs to. */
    static int instance(JsonNode part) throws MalformedBatchException {
        if (!part.path("who").isInt() || !part.path("msgs").isArray()) {
            throw new MalformedBatchException("a part of a batch needs who and msgs");
        }
        return part.get("who").intValue();
    }

    /** Returns the messages of a part of a batch; {@link #instance} has checked the part before. */
    static Iterable<JsonNode> messages(JsonNode part) {
        return part.get("msgs");
    }

    static Message message(JsonNode message) throws MalformedBatchException {
        if (!message.isObject() || message.size() != 1) {
            throw new MalformedBatchException("a message needs exactly one name");
        }
        Map.Entry<String, JsonNode> named = message.properties().iterator().next();
        return new Message(named.getKey(), named.getValue());
    }

    /** Returns the seed of an instance that is started. */
    static long seed(Message start) {
        return start.fields().path("rngSeed").longValue();
    }

    /** Returns the number of an endpoint list. */
    static int listNumber(Message message) {
        return message.fields().path("slot").intValue();
    }

    /** Returns the entries of an endpoint list. */
    static List<Endpoint> endpoints(Message list) throws MalformedBatchException {
        var endpoints = new ArrayList<Endpoint>();
        for (JsonNode host : list.fields().path("hosts")) {
            endpoints.add(
                    new Endpoint(
                            host.path("server").asText(),
                            host.path("place").intValue(),
                            host.path("site").asText(),
                            host.path("bornMs").doubleValue(),
                            state(host.path("mode"))));
        }
        return List.copyOf(endpoints);
    }

    private static Endpoint.State state(JsonNode mode) throws MalformedBatchException {
        return switch (mode.asText()) {
            case "Running" -> Endpoint.State.RUNNING;
            case "Stopping" -> Endpoint.State.DRAINING;
            case "Deleted" -> Endpoint.State.GONE;
            default -> throw new MalformedBatchException("unknown mode " + mode);
        };
    }

    /** Returns the deployment of the instance. */
    Deployment deployment() {
        return settings.deployment();
    }

    /**
     * Reads an event; returns null for a message that has no meaning for a gatherer.
     *
     * @param endpointLists the endpoint lists by number, as of this message
     */
    Event event(Message message, Map<Integer, List<Endpoint>> endpointLists)
            throws MalformedBatchException {
        JsonNode fields = message.fields();
        return switch (message.wireName()) {
            case "Order" -> queryOrPart(fields);
            case "Outcome" -> attemptEnded(fields);
            case "Aborted" -> new Event.ClientDisconnected(fields.path("id").asText());
            case "Registry" -> endpointUpdate(message, endpointLists);
            case "CheckResult" -> healthCheckEnded(fields);
            case "Bell" -> new Event.WakeUp();
            case "Flowing", "Peer" -> null;
            default -> throw new MalformedBatchException("unknown message " + message.wireName());
        };
    }

    private Event queryOrPart(JsonNode fields) throws MalformedBatchException {
        String id = fields.path("id").asText();
        long queryNumber = fields.path("wholeNo").longValue();
        int shard = fields.path("rangeNo").intValue();
        if (shard >= 0) {
            return new Event.PartReceived(
                    id, queryNumber, shard, fields.path("measure").doubleValue());
        }
        QueryClass queryClass = queryClasses.get(fields.path("kind").asText());
        if (queryClass == null) {
            throw new MalformedBatchException("unknown kind " + fields.path("kind"));
        }
        return new Event.QueryReceived(
                id,
                queryNumber,
                queryClass,
                tenants.get(fields.path("realm").asText()),
                fields.path("timeBudgetMs").doubleValue());
    }

    private Event attemptEnded(JsonNode fields) throws MalformedBatchException {
        return new Event.AttemptEnded(
                fields.path("id").asText(),
                fields.path("sendNo").intValue(),
                outcome(fields),
                fields.path("elapsedMs").doubleValue(),
                load(fields));
    }

    private Event healthCheckEnded(JsonNode fields) throws MalformedBatchException {
        return new Event.HealthCheckEnded(
                fields.path("server").asText(),
                outcome(fields),
                fields.path("elapsedMs").doubleValue(),
                load(fields));
    }

    private static Event endpointUpdate(Message message, Map<Integer, List<Endpoint>> endpointLists)
            throws MalformedBatchException {
        String kind = message.fields().path("kind").asText();
        if (kind.equals("unavailable")) {
            return new Event.EndpointsUnavailable();
        }
        List<Endpoint> endpoints = endpointLists.get(listNumber(message));
        if (endpoints == null) {
            throw new MalformedBatchException("no table in slot " + message.fields().path("slot"));
        }
        return new Event.EndpointsUpdated(!kind.equals("update"), endpoints);
    }

    /** Returns the load that a shard server reports; null if it reports none. */
    private LoadReport load(JsonNode fields) {
        JsonNode stats = fields.path("stats");
        if (settings.loadFields().isEmpty() || !stats.isArray()) {
            return null;
        }
        return new LoadReport(stat(stats, "rif"), stat(stats, "q"), stat(stats, "busy"));
    }

    private double stat(JsonNode stats, String field) {
        return stats.path(settings.loadFields().indexOf(field)).asDouble(Double.NaN);
    }

    private static AttemptOutcome outcome(JsonNode fields) throws MalformedBatchException {
        return switch (fields.path("rc").asInt(-1)) {
            case 0 -> AttemptOutcome.COMPLETED;
            case 13 -> AttemptOutcome.ERROR;
            case 8 -> AttemptOutcome.OVERLOADED;
            case 4 -> AttemptOutcome.TIMED_OUT;
            case 14 -> AttemptOutcome.UNREACHABLE;
            case 10 -> AttemptOutcome.RESET;
            case 1 -> AttemptOutcome.CANCELLED;
            case 9 -> AttemptOutcome.NEVER_SENT;
            default -> throw new MalformedBatchException("unknown rc " + fields.path("rc"));
        };
    }
}
