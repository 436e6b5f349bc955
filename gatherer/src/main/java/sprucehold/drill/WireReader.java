package sprucehold.drill;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.facts.Facts;
import sprucehold.facts.MalformedFactsException;
import sprucehold.port.Customer;
import sprucehold.port.Deployment;
import sprucehold.port.Ending;
import sprucehold.port.Event;
import sprucehold.port.Listing;
import sprucehold.port.LoadReport;
import sprucehold.port.TableType;

/**
 * Reads one instance's facts and events. Unknown fields are skipped, absent ones are zero or empty.
 */
final class WireReader {
    private final Facts facts;
    private final Map<String, TableType> tableTypes = new HashMap<>();
    private final Map<String, Customer> customers = new HashMap<>();

    WireReader(JsonNode params) throws MalformedBatchException {
        try {
            facts = Facts.read(params);
        } catch (MalformedFactsException e) {
            throw new MalformedBatchException(e.getMessage());
        }
        facts.deployment().tableTypes().forEach(type -> tableTypes.put(type.name(), type));
        facts.deployment()
                .customers()
                .forEach(customer -> customers.put(customer.name(), customer));
    }

    Deployment deployment() {
        return facts.deployment();
    }

    /** Returns null for events that mean nothing to a gatherer of this kind. */
    Event event(String name, JsonNode fields, Map<Integer, List<Listing>> tables)
            throws MalformedBatchException {
        return switch (name) {
            case "Order" -> order(fields);
            case "Outcome" ->
                    new Event.DispatchEnded(
                            fields.path("id").asText(),
                            fields.path("sendNo").intValue(),
                            ending(fields),
                            fields.path("elapsedMs").doubleValue(),
                            load(fields));
            case "Aborted" -> new Event.ClientLeft(fields.path("id").asText());
            case "Registry" -> list(fields, tables);
            case "CheckResult" ->
                    new Event.ProbeEnded(
                            fields.path("server").asText(),
                            ending(fields),
                            fields.path("elapsedMs").doubleValue(),
                            load(fields));
            case "Bell" -> new Event.Woken();
            case "Flowing", "Peer" -> null;
            default -> throw new MalformedBatchException("unknown message " + name);
        };
    }

    private Event order(JsonNode fields) throws MalformedBatchException {
        String id = fields.path("id").asText();
        long number = fields.path("wholeNo").longValue();
        int segment = fields.path("rangeNo").intValue();
        if (segment >= 0) {
            return new Event.PartTaken(id, number, segment, fields.path("measure").doubleValue());
        }
        TableType type = tableTypes.get(fields.path("kind").asText());
        if (type == null) {
            throw new MalformedBatchException("unknown kind " + fields.path("kind"));
        }
        return new Event.ScanTaken(
                id,
                number,
                type,
                customers.get(fields.path("realm").asText()),
                fields.path("timeBudgetMs").doubleValue());
    }

    private static Event list(JsonNode fields, Map<Integer, List<Listing>> tables)
            throws MalformedBatchException {
        String kind = fields.path("kind").asText();
        if (kind.equals("unavailable")) {
            return new Event.ListUnavailable();
        }
        List<Listing> entries = tables.get(fields.path("slot").intValue());
        if (entries == null) {
            throw new MalformedBatchException("no table in slot " + fields.path("slot"));
        }
        return new Event.ListReceived(!kind.equals("update"), entries);
    }

    static List<Listing> listings(JsonNode hosts) throws MalformedBatchException {
        var listings = new ArrayList<Listing>();
        for (JsonNode host : hosts) {
            Listing.Mode mode =
                    switch (host.path("mode").asText()) {
                        case "Running" -> Listing.Mode.RUNNING;
                        case "Stopping" -> Listing.Mode.DRAINING;
                        case "Deleted" -> Listing.Mode.GONE;
                        default ->
                                throw new MalformedBatchException(
                                        "unknown mode " + host.path("mode"));
                    };
            listings.add(
                    new Listing(
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
        if (facts.loadFields().isEmpty() || !stats.isArray()) {
            return null;
        }
        return new LoadReport(stat(stats, "rif"), stat(stats, "q"), stat(stats, "busy"));
    }

    private double stat(JsonNode stats, String field) {
        return stats.path(facts.loadFields().indexOf(field)).asDouble(Double.NaN);
    }

    private static Ending ending(JsonNode fields) throws MalformedBatchException {
        return switch (fields.path("rc").asInt(-1)) {
            case 0 -> Ending.COMPLETED;
            case 13 -> Ending.ERROR;
            case 8 -> Ending.FULL;
            case 4 -> Ending.TIMED_OUT;
            case 14 -> Ending.UNCONNECTED;
            case 10 -> Ending.RESET;
            case 1 -> Ending.CANCELLED;
            case 9 -> Ending.NEVER_SENT;
            default -> throw new MalformedBatchException("unknown rc " + fields.path("rc"));
        };
    }
}
