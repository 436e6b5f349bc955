package sprucehold.simulation;

import com.fasterxml.jackson.databind.JsonNode;
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
 * Reads one instance's facts and events. Unknown fields are skipped, absent ones are zero or empty.
 */
final class WireReader {
    private final DeploymentSettings settings;
    private final Map<String, QueryClass> queryClasses = new HashMap<>();
    private final Map<String, Tenant> tenants = new HashMap<>();

    WireReader(JsonNode params) throws MalformedBatchException {
        try {
            settings = DeploymentSettings.read(params);
        } catch (InvalidSettingsException e) {
            throw new MalformedBatchException(e.getMessage());
        }
        settings.deployment().queryClasses().forEach(type -> queryClasses.put(type.name(), type));
        settings.deployment().tenants().forEach(tenant -> tenants.put(tenant.name(), tenant));
    }

    Deployment deployment() {
        return settings.deployment();
    }

    /** Returns null for events that mean nothing to a gatherer of this kind. */
    Event event(String name, JsonNode fields, Map<Integer, List<Endpoint>> tables)
            throws MalformedBatchException {
        return switch (name) {
            case "Order" -> queryOrPart(fields);
            case "Outcome" ->
                    new Event.AttemptEnded(
                            fields.path("id").asText(),
                            fields.path("sendNo").intValue(),
                            outcome(fields),
                            fields.path("elapsedMs").doubleValue(),
                            load(fields));
            case "Aborted" -> new Event.ClientDisconnected(fields.path("id").asText());
            case "Registry" -> endpointUpdate(fields, tables);
            case "CheckResult" ->
                    new Event.HealthCheckEnded(
                            fields.path("server").asText(),
                            outcome(fields),
                            fields.path("elapsedMs").doubleValue(),
                            load(fields));
            case "Bell" -> new Event.WakeUp();
            case "Flowing", "Peer" -> null;
            default -> throw new MalformedBatchException("unknown message " + name);
        };
    }

    private Event queryOrPart(JsonNode fields) throws MalformedBatchException {
        String id = fields.path("id").asText();
        long number = fields.path("wholeNo").longValue();
        int segment = fields.path("rangeNo").intValue();
        if (segment >= 0) {
            return new Event.PartReceived(
                    id, number, segment, fields.path("measure").doubleValue());
        }
        QueryClass type = queryClasses.get(fields.path("kind").asText());
        if (type == null) {
            throw new MalformedBatchException("unknown kind " + fields.path("kind"));
        }
        return new Event.QueryReceived(
                id,
                number,
                type,
                tenants.get(fields.path("realm").asText()),
                fields.path("timeBudgetMs").doubleValue());
    }

    private static Event endpointUpdate(JsonNode fields, Map<Integer, List<Endpoint>> tables)
            throws MalformedBatchException {
        String kind = fields.path("kind").asText();
        if (kind.equals("unavailable")) {
            return new Event.EndpointsUnavailable();
        }
        List<Endpoint> entries = tables.get(fields.path("slot").intValue());
        if (entries == null) {
            throw new MalformedBatchException("no table in slot " + fields.path("slot"));
        }
        return new Event.EndpointsUpdated(!kind.equals("update"), entries);
    }

    static List<Endpoint> endpoints(JsonNode hosts) throws MalformedBatchException {
        var listings = new ArrayList<Endpoint>();
        for (JsonNode host : hosts) {
            Endpoint.State mode =
                    switch (host.path("mode").asText()) {
                        case "Running" -> Endpoint.State.RUNNING;
                        case "Stopping" -> Endpoint.State.DRAINING;
                        case "Deleted" -> Endpoint.State.GONE;
                        default ->
                                throw new MalformedBatchException(
                                        "unknown mode " + host.path("mode"));
                    };
            listings.add(
                    new Endpoint(
                            host.path("server").asText(),
                            host.path("place").intValue(),
                            host.path("site").asText(),
                            host.path("bornMs").doubleValue(),
                            mode));
        }
        return List.copyOf(listings);
    }

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
