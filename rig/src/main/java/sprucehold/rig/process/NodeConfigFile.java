package sprucehold.rig.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import sprucehold.decision.Deployment;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Script;

/** Writes the node configuration file of a gatherer, with the field names of the platform. */
public final class NodeConfigFile {
    /**
     * Idle timeout of connections, in milliseconds. It equals the idle timeout of the platform's
     * machines.
     */
    private static final double IDLE_CLOSE_MS = 15_000;

    private static final double DIAL_MS = 250;

    private NodeConfigFile() {}

    /**
     * @param listen the address at which the gatherer listens, as HOST:PORT
     * @param known the last list of shard servers that discovery returned to the gatherer
     */
    public static String json(
            Script script,
            Plan.Gatherer gatherer,
            String listen,
            String discovery,
            ObjectNode known) {
        ObjectNode root =
                new ObjectMapper()
                        .createObjectNode()
                        .put("name", gatherer.name())
                        .put("listen", listen)
                        .put("discovery", discovery)
                        .put("seed", String.format(Locale.ROOT, "%016x", gatherer.seed()));
        root.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", 192)
                .put("sockets", script.limits().sockets());
        root.set("known", known);
        Deployment deployment = script.deployment(gatherer.site());
        ObjectNode settings =
                root.putObject("settings")
                        .put("balancers", deployment.gatherers())
                        .put("locality", deployment.zone())
                        .put("quantumMs", deployment.tickMs())
                        .put("overShareWorth", deployment.overQuotaPriority())
                        .put("discovery", "automatic");
        var classes = settings.putArray("classes");
        ObjectNode family =
                settings.putObject("familyInfo")
                        .put("ranges", script.segments())
                        .put("sets", deployment.layout().replicaGroups())
                        .put("width", 1)
                        .put("bundleMax", 1);
        var completeFrom = family.putArray("completeFrom");
        var leastShare = family.putArray("leastShare");
        var fetch = family.putArray("classFetch");
        for (Script.Kind kind : script.tableTypes()) {
            classes.addObject()
                    .put("name", kind.type().name())
                    .put(
                            "semantics",
                            switch (kind.type().idempotence()) {
                                case IDEMPOTENT -> "retryable";
                                case DEDUPLICATED -> "dedup";
                                case NON_IDEMPOTENT -> "fragile";
                            })
                    .put("aimMs", kind.type().latencyObjectiveMs())
                    .put("giveUpMs", kind.timeoutMs())
                    .put("worth", kind.type().priorityWeight())
                    .put("lateValue", kind.type().lateWeight())
                    .put("windowMs", kind.type().deduplicationWindowMs());
            completeFrom.add(kind.type().completeCoverage());
            leastShare.add(kind.type().minimumCoverage());
            fetch.add(0);
        }
        var tenants = settings.putArray("tenants");
        script.customers()
                .forEach(
                        customer ->
                                tenants.addObject()
                                        .put("name", customer.name())
                                        .put("allowancePerS", customer.scansPerS())
                                        .put("share", 1.0));
        settings.putObject("feedback").put("source", "none").putArray("fields");
        settings.putObject("limits")
                .put("cancel", true)
                .put("dialTimeoutMs", DIAL_MS)
                .put("idleCloseMs", IDLE_CLOSE_MS)
                .put("maxOpen", script.limits().maxOpen())
                .put("maxRetryAfterMs", script.limits().comeBackMs())
                .put("retryAfter", script.limits().comeBackMs() > 0)
                .put("secondCopies", script.limits().secondCopies())
                .put("sendCap", script.limits().dispatchesPerPart())
                .put("streamsPerConn", 32);
        ObjectNode safety =
                settings.putObject("safety")
                        .put("coldFrom", script.coldRule().startShare())
                        .put("coldMs", script.coldRule().warmAfterMs())
                        .put("fallMultiple", script.coldRule().overloadFactor())
                        .put("overloadForMs", script.coldRule().windowMs())
                        .put("mustAskInMs", deployment.endpointSubscription().maxPollIntervalMs());
        if (!script.budget().equals(Deployment.RetryBudget.NONE)) {
            safety.put("budgetFree", script.budget().fixed())
                    .put("extraRatio", script.budget().perRequest())
                    .put("countedOverMs", script.budget().windowMs());
        }
        return root.toPrettyString();
    }
}
