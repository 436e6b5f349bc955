package sprucehold.drill;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.port.Customer;
import sprucehold.port.Deployment;
import sprucehold.port.Ending;
import sprucehold.port.Event;
import sprucehold.port.Listing;
import sprucehold.port.LoadReport;
import sprucehold.port.TableType;

/** Reads one instance's facts and events. Unknown fields are skipped, absent ones are zero or empty. */
final class WireReader {
    private final Deployment deployment;
    private final Map<String, TableType> tableTypes = new HashMap<>();
    private final Map<String, Customer> customers = new HashMap<>();
    private final List<String> loadFields = new ArrayList<>();

    WireReader(JsonNode params) throws MalformedBatchException {
        JsonNode family = params.path("familyInfo");
        var types = new ArrayList<TableType>();
        for (JsonNode node : params.path("classes")) {
            TableType type = tableType(node, family, types.size());
            types.add(type);
            tableTypes.put(type.name(), type);
        }
        for (JsonNode node : params.path("tenants")) {
            var customer = new Customer(node.path("name").asText(), node.path("allowancePerS").doubleValue());
            customers.put(customer.name(), customer);
        }
        JsonNode feedback = params.path("feedback");
        if (!feedback.path("source").asText().equals("none")) {
            feedback.path("fields").forEach(field -> loadFields.add(field.asText()));
        }
        JsonNode limits = params.path("limits");
        JsonNode rules = params.path("safety");
        deployment = new Deployment(
                Math.max(1, params.path("balancers").asInt(1)),
                params.path("locality").asText(),
                params.path("quantumMs").doubleValue(),
                params.path("overShareWorth").asDouble(1),
                List.copyOf(types),
                List.copyOf(customersInOrder(params)),
                new Deployment.Layout(Math.max(1, family.path("sets").asInt(1)),
                        Math.max(1, family.path("width").asInt(1)),
                        Math.max(1, family.path("bundleMax").asInt(1))),
                new Deployment.Limits(Math.max(1, limits.path("sendCap").asInt(1)),
                        limits.path("maxOpen").asInt(Integer.MAX_VALUE),
                        limits.path("secondCopies").booleanValue(), limits.path("cancel").booleanValue(),
                        limits.path("retryAfter").booleanValue() ? limits.path("maxRetryAfterMs").doubleValue() : 0),
                new Deployment.ColdRule(rules.path("coldFrom").asDouble(1), rules.path("coldMs").doubleValue(),
                        rules.path("fallMultiple").asDouble(1), rules.path("overloadForMs").doubleValue()),
                rules.has("countedOverMs")
                        ? new Deployment.DispatchBudget(rules.path("budgetFree").doubleValue(),
                                rules.path("extraRatio").doubleValue(), rules.path("countedOverMs").doubleValue())
                        : Deployment.DispatchBudget.NONE,
                new Deployment.ListAccess(params.path("discovery").asText().equals("subscribe"),
                        rules.path("mustAskInMs").doubleValue()));
    }

    Deployment deployment() {
        return deployment;
    }

    private List<Customer> customersInOrder(JsonNode params) {
        var all = new ArrayList<Customer>();
        params.path("tenants").forEach(node -> all.add(customers.get(node.path("name").asText())));
        return all;
    }

    private static TableType tableType(JsonNode node, JsonNode family, int index) throws MalformedBatchException {
        TableType.Repeat repeat = switch (node.path("semantics").asText()) {
            case "retryable" -> TableType.Repeat.REPLAYABLE;
            case "dedup" -> TableType.Repeat.KEYED;
            case "fragile" -> TableType.Repeat.NON_REPLAYABLE;
            default -> throw new MalformedBatchException("unknown semantics " + node.path("semantics"));
        };
        return new TableType(node.path("name").asText(), repeat, node.path("aimMs").doubleValue(),
                node.path("worth").asDouble(1), node.path("lateValue").doubleValue(),
                node.path("windowMs").doubleValue(), family.path("completeFrom").path(index).asDouble(1),
                family.path("leastShare").path(index).asDouble(1),
                family.path("classFetch").path(index).intValue());
    }

    /** Returns null for events that mean nothing to a gatherer of this kind. */
    Event event(String name, JsonNode fields, Map<Integer, List<Listing>> tables) throws MalformedBatchException {
        return switch (name) {
            case "Order" -> order(fields);
            case "Outcome" -> new Event.DispatchEnded(fields.path("id").asText(), fields.path("sendNo").intValue(),
                    ending(fields), fields.path("elapsedMs").doubleValue(), load(fields));
            case "Aborted" -> new Event.ClientLeft(fields.path("id").asText());
            case "Registry" -> list(fields, tables);
            case "CheckResult" -> new Event.ProbeEnded(fields.path("server").asText(), ending(fields),
                    fields.path("elapsedMs").doubleValue(), load(fields));
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
        return new Event.ScanTaken(id, number, type, customers.get(fields.path("realm").asText()),
                fields.path("timeBudgetMs").doubleValue());
    }

    private static Event list(JsonNode fields, Map<Integer, List<Listing>> tables) throws MalformedBatchException {
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
            Listing.Mode mode = switch (host.path("mode").asText()) {
                case "Running" -> Listing.Mode.RUNNING;
                case "Stopping" -> Listing.Mode.DRAINING;
                case "Deleted" -> Listing.Mode.GONE;
                default -> throw new MalformedBatchException("unknown mode " + host.path("mode"));
            };
            listings.add(new Listing(host.path("server").asText(), host.path("place").intValue(),
                    host.path("site").asText(), host.path("bornMs").doubleValue(), mode));
        }
        return List.copyOf(listings);
    }

    private LoadReport load(JsonNode fields) {
        JsonNode stats = fields.path("stats");
        if (loadFields.isEmpty() || !stats.isArray()) {
            return null;
        }
        return new LoadReport(stat(stats, "rif"), stat(stats, "q"), stat(stats, "busy"));
    }

    private double stat(JsonNode stats, String field) {
        return stats.path(loadFields.indexOf(field)).asDouble(Double.NaN);
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
