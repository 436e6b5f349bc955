package sprucehold.rig.script;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import sprucehold.decision.Deployment;
import sprucehold.decision.QueryClass;
import sprucehold.decision.StoredEnum;

/**
 * Reads a script. Checks its form by the schema {@code deploy/rig.schema.json}, then the references
 * and sizes that the schema can't check.
 */
public final class ScriptReader {
    /** Names of the scripts that are shipped with the rig. */
    public static final List<String> SHIPPED_SCRIPTS =
            List.of(
                    "calm",
                    "one-killed",
                    "half-killed",
                    "site-cut",
                    "deaf",
                    "rolling-restart",
                    "restarts-among-hanging",
                    "held-up-among-leaving",
                    "grey",
                    "four-sites",
                    "together",
                    "together-cut",
                    "together-alone",
                    "together-deaf",
                    "together-paused",
                    "together-clocks",
                    "together-killed",
                    "together-liar",
                    "together-twin",
                    "together-flood");

    private static final ObjectMapper JSON =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private final String source;
    private final List<String> errors = new ArrayList<>();

    private ScriptReader(String source) {
        this.source = source;
    }

    /**
     * Reads a script that is shipped with the rig, or a file.
     *
     * @param named name of a shipped script, or path of a file
     * @throws IOException with all errors and their positions, in one line
     */
    public static Script read(String named) throws IOException {
        byte[] bytes;
        if (SHIPPED_SCRIPTS.contains(named)) {
            try (InputStream in =
                    ScriptReader.class.getResourceAsStream("/rig/" + named + ".json")) {
                bytes = in.readAllBytes();
            }
        } else {
            Path file = Path.of(named);
            if (!Files.isRegularFile(file)) {
                throw new IOException(
                        named
                                + ": a file or one of "
                                + String.join(", ", SHIPPED_SCRIPTS)
                                + " was expected");
            }
            bytes = Files.readAllBytes(file);
        }
        return new ScriptReader(named).read(bytes);
    }

    /** Reads a script that was stored with a run. */
    public static Script read(Path file) throws IOException {
        return new ScriptReader(file.toString()).read(Files.readAllBytes(file));
    }

    private Script read(byte[] bytes) throws IOException {
        JsonNode node;
        try {
            node = JSON.readTree(bytes);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    source
                            + ", line "
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": not JSON: "
                            + e.getOriginalMessage(),
                    e);
        }
        Set<ValidationMessage> faults = schema().validate(node);
        if (!faults.isEmpty()) {
            throw new IOException(
                    source
                            + ": "
                            + faults.stream()
                                    .map(ValidationMessage::getMessage)
                                    .sorted()
                                    .collect(Collectors.joining("; ")));
        }
        Script script = script(node);
        validate(script);
        if (!errors.isEmpty()) {
            throw new IOException(source + ": " + String.join("; ", errors));
        }
        return script;
    }

    private static JsonSchema schema() throws IOException {
        try (InputStream in = ScriptReader.class.getResourceAsStream("/rig.schema.json")) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        }
    }

    // ---- Parsing ----

    private static Iterable<JsonNode> each(JsonNode array) {
        return array.isMissingNode() ? List.of() : array;
    }

    private static List<String> texts(JsonNode array) {
        return StreamSupport.stream(each(array).spliterator(), false)
                .map(JsonNode::asText)
                .toList();
    }

    private static <E extends Enum<E>> E named(Class<E> type, JsonNode node, E otherwise) {
        return node.isMissingNode() ? otherwise : Enum.valueOf(type, constantName(node.asText()));
    }

    private static Script script(JsonNode node) {
        var sites = new ArrayList<Script.Site>();
        node.get("sites")
                .forEach(
                        site ->
                                sites.add(
                                        new Script.Site(
                                                site.get("name").asText(),
                                                site.get("gatherers").intValue(),
                                                site.get("holders").intValue())));
        var kinds = new ArrayList<Script.Kind>();
        node.get("tableTypes").forEach(type -> kinds.add(kind(type)));
        var customers = new ArrayList<Script.Customer>();
        node.get("customers")
                .forEach(
                        customer ->
                                customers.add(
                                        new Script.Customer(
                                                customer.get("name").asText(),
                                                customer.get("scansPerS").doubleValue())));
        JsonNode servers = node.path("servers");
        JsonNode limits = node.path("limits");
        JsonNode slowStart = node.path("cold");
        JsonNode budget = node.path("budget");
        var load = new ArrayList<Script.Load>();
        node.get("load").forEach(line -> load.add(load(line)));
        var faults = new ArrayList<Fault>();
        for (JsonNode fault : each(node.path("faults"))) {
            faults.add(fault(fault, faults.size()));
        }
        return new Script(
                node.get("name").asText(),
                node.get("lengthS").doubleValue(),
                List.copyOf(sites),
                node.get("segments").intValue(),
                node.get("cells").intValue(),
                List.copyOf(kinds),
                List.copyOf(customers),
                new Script.Servers(
                        servers.path("cores").asInt(2),
                        servers.path("queueMost").asInt(200),
                        servers.path("connectionsMost").asInt(500)),
                new Script.Limits(
                        limits.path("dispatchesPerPart").asInt(3),
                        limits.path("maxOpen").asInt(2000),
                        limits.path("secondCopies").asBoolean(true),
                        limits.path("comeBackMs").asDouble(500),
                        limits.path("sockets").asInt(1024)),
                new Deployment.SlowStartRule(
                        slowStart.path("startShare").asDouble(0.2),
                        slowStart.path("warmAfterMs").asDouble(5000),
                        slowStart.path("multiple").asDouble(4),
                        slowStart.path("windowMs").asDouble(1000)),
                budget.isMissingNode()
                        ? Deployment.RetryBudget.NONE
                        : new Deployment.RetryBudget(
                                budget.get("free").doubleValue(),
                                budget.get("perTaken").doubleValue(),
                                budget.get("windowMs").doubleValue()),
                node.path("frontLearnsMs").asDouble(1000),
                List.copyOf(load),
                List.copyOf(faults),
                new Script.Bands(node.path("bands").path("leastService").asDouble(0)),
                together(node.path("together")));
    }

    private static Script.Together together(JsonNode node) {
        return node.isMissingNode()
                ? null
                : new Script.Together(
                        node.path("further").asInt(0),
                        node.path("furtherWindowMs").asDouble(1000),
                        node.path("driftPpm").asDouble(500),
                        node.path("clocksOffMs").asDouble(5000));
    }

    private static String constantName(String word) {
        return word.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    private static Script.Kind kind(JsonNode type) {
        return new Script.Kind(
                new QueryClass(
                        type.get("name").asText(),
                        StoredEnum.fromStoredName(
                                        QueryClass.Idempotence.class,
                                        constantName(type.get("repeat").asText()))
                                .orElseThrow(),
                        type.get("targetMs").doubleValue(),
                        type.path("benefit").asDouble(1),
                        type.path("lateShare").asDouble(0.3),
                        type.path("keyedWindowMs").asDouble(0),
                        type.path("completeFrom").asDouble(1),
                        type.path("leastShare").asDouble(type.path("completeFrom").asDouble(1)),
                        0),
                type.get("timeoutMs").doubleValue(),
                type.get("workMs").doubleValue(),
                type.path("spread").asDouble(0.5));
    }

    private static Script.Load load(JsonNode line) {
        var ramps = new ArrayList<Script.Ramp>();
        each(line.path("ramps"))
                .forEach(
                        ramp ->
                                ramps.add(
                                        new Script.Ramp(
                                                ramp.get("atS").doubleValue(),
                                                ramp.get("scansPerS").doubleValue())));
        return new Script.Load(
                line.get("site").asText(),
                line.get("customer").asText(),
                line.get("tableType").asText(),
                line.get("scansPerS").doubleValue(),
                line.path("parts").asInt(1),
                line.path("popular").asDouble(0),
                List.copyOf(ramps),
                line.path("retries").asInt(0),
                line.path("backOffMs").asDouble(200),
                line.path("leavesMs").asDouble(Double.POSITIVE_INFINITY));
    }

    private static Fault fault(JsonNode fault, int index) {
        JsonNode when = fault.path("when");
        return new Fault(
                fault.path("name").asText("fault " + (index + 1)),
                named(Fault.Kind.class, fault.get("kind"), null),
                texts(fault.get("of")),
                texts(fault.path("to")),
                fault.path("some").asInt(0),
                fault.path("atS").asDouble(0),
                when.isMissingNode()
                        ? null
                        : new Fault.Trigger(
                                when.path("fault").asText(""),
                                when.path("gatherer").asText(""),
                                when.path("dispatchesOut").asInt(0)),
                fault.path("forS").asDouble(Double.POSITIVE_INFINITY),
                fault.path("amount").asDouble(0),
                named(Fault.Mode.class, fault.path("mode"), Fault.Mode.SILENT),
                fault.path("oneWay").asBoolean(false),
                texts(fault.path("tableTypes")));
    }

    // ---- Validation ----

    private void validate(Script script) {
        checkUnique("sites", script.sites().stream().map(Script.Site::name).toList());
        checkUnique(
                "tableTypes",
                script.tableTypes().stream().map(kind -> kind.type().name()).toList());
        checkUnique("customers", script.customers().stream().map(Script.Customer::name).toList());
        checkUnique("faults", script.faults().stream().map(Fault::name).toList());
        if (script.cells() > script.segments()) {
            errors.add(
                    "cells: "
                            + script.cells()
                            + " exceeds the number of segments ("
                            + script.segments()
                            + ")");
        }
        int gatherers = script.sites().stream().mapToInt(Script.Site::gatherers).sum();
        int servers =
                script.sites().stream().mapToInt(site -> site.holders() * script.cells()).sum();
        if (gatherers < 1 || gatherers > Script.MAX_GATHERERS) {
            errors.add(
                    "sites: "
                            + gatherers
                            + " gatherers, 1 to "
                            + Script.MAX_GATHERERS
                            + " were expected");
        }
        if (servers < 1 || servers > Script.MAX_SERVERS) {
            errors.add(
                    "sites: "
                            + servers
                            + " shard servers, 1 to "
                            + Script.MAX_SERVERS
                            + " were expected");
        }
        var parties = Parties.of(script);
        for (int i = 0; i < script.load().size(); i++) {
            checkLoad(script, script.load().get(i), "load[" + i + "]");
        }
        Map<String, Fault> byName = new HashMap<>();
        script.faults().forEach(fault -> byName.put(fault.name(), fault));
        for (int i = 0; i < script.faults().size(); i++) {
            checkFault(script, parties, byName, script.faults().get(i), "faults[" + i + "]");
        }
    }

    private void checkUnique(String what, List<String> names) {
        var seen = new HashSet<String>();
        names.stream()
                .filter(name -> !seen.add(name))
                .forEach(name -> errors.add(what + ": " + name + " appears more than once"));
    }

    private void checkLoad(Script script, Script.Load load, String at) {
        if (script.sites().stream()
                .noneMatch(site -> site.name().equals(load.site()) && site.gatherers() > 0)) {
            errors.add(at + ".site: no site with gatherers is named " + load.site());
        }
        if (script.customers().stream()
                .noneMatch(customer -> customer.name().equals(load.customer()))) {
            errors.add(at + ".customer: no customer is named " + load.customer());
        }
        if (script.tableTypes().stream()
                .noneMatch(kind -> kind.type().name().equals(load.tableType()))) {
            errors.add(at + ".tableType: no table type is named " + load.tableType());
        }
        if (load.parts() > script.segments()) {
            errors.add(
                    at
                            + ".parts: "
                            + load.parts()
                            + " exceeds the number of segments ("
                            + script.segments()
                            + ")");
        }
        load.ramps().stream()
                .filter(ramp -> ramp.atS() > script.lengthS())
                .forEach(
                        ramp ->
                                errors.add(
                                        at
                                                + ".ramps: "
                                                + ramp.atS()
                                                + " s is past the end at "
                                                + script.lengthS()
                                                + " s"));
    }

    private void checkFault(
            Script script, Parties parties, Map<String, Fault> byName, Fault fault, String at) {
        if (fault.when() == null && fault.atS() > script.lengthS()) {
            errors.add(
                    at
                            + ".atS: "
                            + fault.atS()
                            + " s is past the end at "
                            + script.lengthS()
                            + " s");
        }
        if (!fault.kind().unit().accepts(fault.amount())) {
            errors.add(
                    at
                            + ".amount: "
                            + fault.amount()
                            + " for "
                            + kindName(fault.kind())
                            + ", but "
                            + fault.kind().unit().range()
                            + " was expected");
        }
        for (String selector : fault.of()) {
            checkSelection(
                    parties.select(selector), selector, fault.kind().whom(), at + ".of", parties);
        }
        boolean onLinks = fault.kind().whom() == Fault.Whom.LINK;
        if (fault.kind() == Fault.Kind.FLOOD && script.together() == null) {
            errors.add(
                    at
                            + ".kind: flood applies only to gatherers that exchange messages, but "
                            + "the script has no field together");
        }
        if (onLinks && fault.to().isEmpty()) {
            errors.add(at + ".to: the other end of the link was expected");
        }
        boolean acceptsTo =
                onLinks || fault.kind() == Fault.Kind.GREY || fault.kind() == Fault.Kind.LIST_HIDES;
        if (!acceptsTo && !fault.to().isEmpty()) {
            errors.add(at + ".to: not allowed for " + kindName(fault.kind()));
        }
        if (fault.kind() == Fault.Kind.GREY
                && fault.to().isEmpty()
                && fault.tableTypes().isEmpty()) {
            errors.add(at + ": grey requires to or tableTypes");
        }
        for (String selector : fault.to()) {
            Fault.Whom other =
                    fault.kind() == Fault.Kind.GREY
                            ? Fault.Whom.GATHERER
                            : fault.kind() == Fault.Kind.LIST_HIDES
                                    ? Fault.Whom.SERVER
                                    : Fault.Whom.LINK;
            checkSelection(parties.select(selector), selector, other, at + ".to", parties);
        }
        fault.tableTypes().stream()
                .filter(
                        name ->
                                script.tableTypes().stream()
                                        .noneMatch(kind -> kind.type().name().equals(name)))
                .forEach(name -> errors.add(at + ".tableTypes: no table type is named " + name));
        if (fault.some() > 0
                && fault.some()
                        > fault.of().stream()
                                .flatMap(selector -> parties.select(selector).stream())
                                .distinct()
                                .count()) {
            errors.add(at + ".some: " + fault.some() + " exceeds the number of selected targets");
        }
        checkTrigger(parties, byName, fault, at);
    }

    private void checkTrigger(Parties parties, Map<String, Fault> byName, Fault fault, String at) {
        if (fault.when() == null) {
            return;
        }
        if (!fault.when().fault().isEmpty()) {
            Fault before = byName.get(fault.when().fault());
            var seen = new HashSet<String>(Set.of(fault.name()));
            while (before != null && before.when() != null && seen.add(before.name())) {
                before = byName.get(before.when().fault());
            }
            if (before == null && !byName.containsKey(fault.when().fault())) {
                errors.add(at + ".when.fault: no fault is named " + fault.when().fault());
            } else if (before != null && seen.contains(before.name()) && before.when() != null) {
                errors.add(at + ".when: cyclic triggers through " + before.name());
            }
        } else if (!parties.gatherers().contains(fault.when().gatherer())) {
            errors.add(at + ".when.gatherer: no gatherer is named " + fault.when().gatherer());
        }
    }

    private void checkSelection(
            List<String> selected, String selector, Fault.Whom whom, String at, Parties parties) {
        if (selected.isEmpty()) {
            errors.add(at + ": no party is selected by " + selector);
        } else if (whom == Fault.Whom.GATHERER && !parties.gatherers().containsAll(selected)
                || whom == Fault.Whom.SERVER && !parties.servers().containsAll(selected)
                || whom == Fault.Whom.DISCOVERY && !parties.gatherers().containsAll(selected)) {
            errors.add(
                    at
                            + ": "
                            + selector
                            + ", "
                            + (whom == Fault.Whom.SERVER ? "shard servers" : "gatherers")
                            + " were expected");
        }
    }

    /** Returns the name of a kind of fault, as scripts spell it. */
    public static String kindName(Fault.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the names of all kinds of faults. */
    public static List<String> words() {
        return Arrays.stream(Fault.Kind.values()).map(ScriptReader::kindName).toList();
    }
}
