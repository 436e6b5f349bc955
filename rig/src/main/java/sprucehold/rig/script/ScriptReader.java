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

/** Reads a script: its form by the schema {@code deploy/rig.schema.json}, then its meaning. */
public final class ScriptReader {
    /** The scripts that come with the rig, by the names under which they are asked for. */
    public static final List<String> SHIPPED =
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

    private final String where;
    private final List<String> wrong = new ArrayList<>();

    private ScriptReader(String where) {
        this.where = where;
    }

    /**
     * @param named the name of a script that comes with the rig, or the path of a file
     * @throws IOException with what is wrong and where, in one line
     */
    public static Script read(String named) throws IOException {
        byte[] bytes;
        if (SHIPPED.contains(named)) {
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
                                + String.join(", ", SHIPPED)
                                + " was expected");
            }
            bytes = Files.readAllBytes(file);
        }
        return new ScriptReader(named).read(bytes);
    }

    /** Reads a script that was kept with a run. */
    public static Script read(Path file) throws IOException {
        return new ScriptReader(file.toString()).read(Files.readAllBytes(file));
    }

    private Script read(byte[] bytes) throws IOException {
        JsonNode node;
        try {
            node = JSON.readTree(bytes);
        } catch (JsonProcessingException e) {
            throw new IOException(
                    where
                            + ", line "
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr())
                            + ": not JSON: "
                            + e.getOriginalMessage(),
                    e);
        }
        Set<ValidationMessage> faults = schema().validate(node);
        if (!faults.isEmpty()) {
            throw new IOException(
                    where
                            + ": "
                            + faults.stream()
                                    .map(ValidationMessage::getMessage)
                                    .sorted()
                                    .collect(Collectors.joining("; ")));
        }
        Script script = script(node);
        meaning(script);
        if (!wrong.isEmpty()) {
            throw new IOException(where + ": " + String.join("; ", wrong));
        }
        return script;
    }

    private static JsonSchema schema() throws IOException {
        try (InputStream in = ScriptReader.class.getResourceAsStream("/rig.schema.json")) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(in);
        }
    }

    // ---- Form ----

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
        JsonNode cold = node.path("cold");
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
                        cold.path("startShare").asDouble(0.2),
                        cold.path("warmAfterMs").asDouble(5000),
                        cold.path("multiple").asDouble(4),
                        cold.path("windowMs").asDouble(1000)),
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
                        StoredEnum.ofName(
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

    // ---- Meaning ----

    private void meaning(Script script) {
        unique("sites", script.sites().stream().map(Script.Site::name).toList());
        unique("tableTypes", script.tableTypes().stream().map(kind -> kind.type().name()).toList());
        unique("customers", script.customers().stream().map(Script.Customer::name).toList());
        unique("faults", script.faults().stream().map(Fault::name).toList());
        if (script.cells() > script.segments()) {
            wrong.add(
                    "cells: "
                            + script.cells()
                            + ", at most as many as segments ("
                            + script.segments()
                            + ") were expected");
        }
        int gatherers = script.sites().stream().mapToInt(Script.Site::gatherers).sum();
        int servers =
                script.sites().stream().mapToInt(site -> site.holders() * script.cells()).sum();
        if (gatherers < 1 || gatherers > Script.MOST_GATHERERS) {
            wrong.add(
                    "sites: "
                            + gatherers
                            + " gatherers, 1 to "
                            + Script.MOST_GATHERERS
                            + " were expected");
        }
        if (servers < 1 || servers > Script.MOST_SERVERS) {
            wrong.add(
                    "sites: "
                            + servers
                            + " shard servers, 1 to "
                            + Script.MOST_SERVERS
                            + " were expected");
        }
        var cast = Cast.of(script);
        for (int i = 0; i < script.load().size(); i++) {
            load(script, script.load().get(i), "load[" + i + "]");
        }
        Map<String, Fault> byName = new HashMap<>();
        script.faults().forEach(fault -> byName.put(fault.name(), fault));
        for (int i = 0; i < script.faults().size(); i++) {
            fault(script, cast, byName, script.faults().get(i), "faults[" + i + "]");
        }
    }

    private void unique(String what, List<String> names) {
        var seen = new HashSet<String>();
        names.stream()
                .filter(name -> !seen.add(name))
                .forEach(name -> wrong.add(what + ": " + name + " stands twice"));
    }

    private void load(Script script, Script.Load load, String at) {
        if (script.sites().stream()
                .noneMatch(site -> site.name().equals(load.site()) && site.gatherers() > 0)) {
            wrong.add(at + ".site: no site with gatherers is called " + load.site());
        }
        if (script.customers().stream()
                .noneMatch(customer -> customer.name().equals(load.customer()))) {
            wrong.add(at + ".customer: none is called " + load.customer());
        }
        if (script.tableTypes().stream()
                .noneMatch(kind -> kind.type().name().equals(load.tableType()))) {
            wrong.add(at + ".tableType: none is called " + load.tableType());
        }
        if (load.parts() > script.segments()) {
            wrong.add(
                    at
                            + ".parts: "
                            + load.parts()
                            + ", at most as many as segments ("
                            + script.segments()
                            + ") were expected");
        }
        load.ramps().stream()
                .filter(ramp -> ramp.atS() > script.lengthS())
                .forEach(
                        ramp ->
                                wrong.add(
                                        at
                                                + ".ramps: "
                                                + ramp.atS()
                                                + " s is past the end at "
                                                + script.lengthS()
                                                + " s"));
    }

    private void fault(
            Script script, Cast cast, Map<String, Fault> byName, Fault fault, String at) {
        if (fault.when() == null && fault.atS() > script.lengthS()) {
            wrong.add(
                    at
                            + ".atS: "
                            + fault.atS()
                            + " s is past the end at "
                            + script.lengthS()
                            + " s");
        }
        if (!fault.kind().unit().takes(fault.amount())) {
            wrong.add(
                    at
                            + ".amount: "
                            + fault.amount()
                            + ", for "
                            + word(fault.kind())
                            + " "
                            + fault.kind().unit().range()
                            + " was expected");
        }
        for (String who : fault.of()) {
            check(cast.select(who), who, fault.kind().whom(), at + ".of", cast);
        }
        boolean pairs = fault.kind().whom() == Fault.Whom.LINK;
        if (fault.kind() == Fault.Kind.FLOOD && script.together() == null) {
            wrong.add(
                    at
                            + ".kind: flood befalls gatherers that talk, and together was expected in the script");
        }
        if (pairs && fault.to().isEmpty()) {
            wrong.add(at + ".to: the other end of the link was expected");
        }
        boolean takesTo =
                pairs || fault.kind() == Fault.Kind.GREY || fault.kind() == Fault.Kind.LIST_HIDES;
        if (!takesTo && !fault.to().isEmpty()) {
            wrong.add(at + ".to: none was expected for " + word(fault.kind()));
        }
        if (fault.kind() == Fault.Kind.GREY
                && fault.to().isEmpty()
                && fault.tableTypes().isEmpty()) {
            wrong.add(at + ": to or tableTypes was expected for grey");
        }
        for (String who : fault.to()) {
            Fault.Whom other =
                    fault.kind() == Fault.Kind.GREY
                            ? Fault.Whom.GATHERER
                            : fault.kind() == Fault.Kind.LIST_HIDES
                                    ? Fault.Whom.SERVER
                                    : Fault.Whom.LINK;
            check(cast.select(who), who, other, at + ".to", cast);
        }
        fault.tableTypes().stream()
                .filter(
                        name ->
                                script.tableTypes().stream()
                                        .noneMatch(kind -> kind.type().name().equals(name)))
                .forEach(name -> wrong.add(at + ".tableTypes: none is called " + name));
        if (fault.some() > 0
                && fault.some()
                        > fault.of().stream()
                                .flatMap(who -> cast.select(who).stream())
                                .distinct()
                                .count()) {
            wrong.add(at + ".some: " + fault.some() + " are more than there are");
        }
        trigger(cast, byName, fault, at);
    }

    private void trigger(Cast cast, Map<String, Fault> byName, Fault fault, String at) {
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
                wrong.add(at + ".when.fault: none is called " + fault.when().fault());
            } else if (before != null && seen.contains(before.name()) && before.when() != null) {
                wrong.add(at + ".when: a loop of triggers over " + before.name());
            }
        } else if (!cast.gatherers().contains(fault.when().gatherer())) {
            wrong.add(at + ".when.gatherer: none is called " + fault.when().gatherer());
        }
    }

    private void check(List<String> selected, String who, Fault.Whom whom, String at, Cast cast) {
        if (selected.isEmpty()) {
            wrong.add(at + ": nobody is meant by " + who);
        } else if (whom == Fault.Whom.GATHERER && !cast.gatherers().containsAll(selected)
                || whom == Fault.Whom.SERVER && !cast.servers().containsAll(selected)
                || whom == Fault.Whom.DISCOVERY && !cast.gatherers().containsAll(selected)) {
            wrong.add(
                    at
                            + ": "
                            + who
                            + ", "
                            + (whom == Fault.Whom.SERVER ? "shard servers" : "gatherers")
                            + " were expected");
        }
    }

    /** How a kind is written in a script. */
    public static String word(Fault.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The words of all kinds. */
    public static List<String> words() {
        return Arrays.stream(Fault.Kind.values()).map(ScriptReader::word).toList();
    }
}
