package sprucehold.rig.script;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import sprucehold.decision.Deployment;

/** Writes a script as JSON that {@link ScriptReader} reads as the same script. */
public final class ScriptWriter {
    private ScriptWriter() {}

    public static String json(Script script) {
        ObjectNode root =
                new ObjectMapper()
                        .createObjectNode()
                        .put("name", script.name())
                        .put("lengthS", script.lengthS());
        ArrayNode sites = root.putArray("sites");
        script.sites()
                .forEach(
                        site ->
                                sites.addObject()
                                        .put("name", site.name())
                                        .put("gatherers", site.gatherers())
                                        .put("holders", site.holders()));
        root.put("segments", script.segments()).put("cells", script.cells());
        ArrayNode types = root.putArray("tableTypes");
        script.tableTypes()
                .forEach(
                        kind ->
                                types.addObject()
                                        .put("name", kind.type().name())
                                        .put("repeat", word(kind.type().idempotence().storedName()))
                                        .put("targetMs", kind.type().latencyObjectiveMs())
                                        .put("timeoutMs", kind.timeoutMs())
                                        .put("benefit", kind.type().priorityWeight())
                                        .put("lateShare", kind.type().lateWeight())
                                        .put("keyedWindowMs", kind.type().deduplicationWindowMs())
                                        .put("completeFrom", kind.type().completeCoverage())
                                        .put("leastShare", kind.type().minimumCoverage())
                                        .put("workMs", kind.workMs())
                                        .put("spread", kind.spread()));
        ArrayNode customers = root.putArray("customers");
        script.customers()
                .forEach(
                        one ->
                                customers
                                        .addObject()
                                        .put("name", one.name())
                                        .put("scansPerS", one.scansPerS()));
        root.putObject("servers")
                .put("cores", script.servers().cores())
                .put("queueMost", script.servers().queueMost())
                .put("connectionsMost", script.servers().connectionsMost());
        root.putObject("limits")
                .put("dispatchesPerPart", script.limits().dispatchesPerPart())
                .put("maxOpen", script.limits().maxOpen())
                .put("secondCopies", script.limits().secondCopies())
                .put("comeBackMs", script.limits().comeBackMs())
                .put("sockets", script.limits().sockets());
        root.putObject("cold")
                .put("startShare", script.coldRule().startShare())
                .put("warmAfterMs", script.coldRule().warmAfterMs())
                .put("multiple", script.coldRule().overloadFactor())
                .put("windowMs", script.coldRule().windowMs());
        if (!script.budget().equals(Deployment.RetryBudget.NONE)) {
            root.putObject("budget")
                    .put("free", script.budget().fixed())
                    .put("perTaken", script.budget().perRequest())
                    .put("windowMs", script.budget().windowMs());
        }
        root.put("frontLearnsMs", script.frontLearnsMs());
        ArrayNode load = root.putArray("load");
        script.load().forEach(line -> load(load.addObject(), line));
        ArrayNode faults = root.putArray("faults");
        script.faults().forEach(fault -> fault(faults.addObject(), fault));
        if (script.together() != null) {
            root.putObject("together")
                    .put("further", script.together().further())
                    .put("furtherWindowMs", script.together().furtherWindowMs())
                    .put("driftPpm", script.together().driftPpm())
                    .put("clocksOffMs", script.together().clocksOffMs());
        }
        root.putObject("bands").put("leastService", script.bands().leastService());
        return root.toPrettyString();
    }

    private static void load(ObjectNode node, Script.Load line) {
        node.put("site", line.site())
                .put("customer", line.customer())
                .put("tableType", line.tableType())
                .put("scansPerS", line.scansPerS())
                .put("parts", line.parts())
                .put("popular", line.popular())
                .put("retries", line.retries())
                .put("backOffMs", line.backOffMs());
        if (line.leavesMs() < Double.POSITIVE_INFINITY) {
            node.put("leavesMs", line.leavesMs());
        }
        ArrayNode ramps = node.putArray("ramps");
        line.ramps()
                .forEach(
                        ramp ->
                                ramps.addObject()
                                        .put("atS", ramp.atS())
                                        .put("scansPerS", ramp.scansPerS()));
    }

    private static void fault(ObjectNode node, Fault fault) {
        node.put("name", fault.name()).put("kind", ScriptReader.kindName(fault.kind()));
        texts(node, "of", fault.of());
        texts(node, "to", fault.to());
        if (fault.some() > 0) {
            node.put("some", fault.some());
        }
        node.put("atS", fault.atS());
        if (fault.when() != null && fault.when().fault().isEmpty()) {
            node.putObject("when")
                    .put("gatherer", fault.when().gatherer())
                    .put("dispatchesOut", fault.when().dispatchesOut());
        } else if (fault.when() != null) {
            node.putObject("when").put("fault", fault.when().fault());
        }
        if (fault.forS() < Double.POSITIVE_INFINITY) {
            node.put("forS", fault.forS());
        }
        node.put("amount", fault.amount())
                .put("mode", word(fault.mode()))
                .put("oneWay", fault.oneWay());
        texts(node, "tableTypes", fault.tableTypes());
    }

    private static void texts(ObjectNode node, String field, List<String> texts) {
        if (!texts.isEmpty()) {
            ArrayNode array = node.putArray(field);
            texts.forEach(array::add);
        }
    }

    private static String word(Enum<?> value) {
        return word(value.name());
    }

    private static String word(String constantName) {
        return constantName.toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
