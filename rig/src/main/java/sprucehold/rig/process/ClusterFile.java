package sprucehold.rig.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import sprucehold.rig.plan.Addresses;
import sprucehold.rig.plan.Plan;
import sprucehold.rig.script.Script;

/**
 * Writes the cluster file of a gatherer, which lists the other gatherers, as defined by
 * deploy/together.schema.json. The address of each other gatherer is the address of a relay.
 */
public final class ClusterFile {
    private ClusterFile() {}

    /**
     * @param listen the address at which the gatherer itself receives peer messages
     */
    public static String json(
            Script script, Plan plan, Addresses addresses, int number, String listen) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        var members = root.putArray("members");
        for (int i = 0; i < plan.gatherers().size(); i++) {
            Plan.Gatherer other = plan.gatherers().get(i);
            ObjectNode member =
                    members.addObject()
                            .put("name", other.name())
                            .put("site", other.site())
                            .put(
                                    "address",
                                    addresses.peersHost(number) + ":" + addresses.peerPort(i));
            if (i == number) {
                member.put("listen", listen + ":" + addresses.messagePort());
            }
        }
        Script.Together together = script.together();
        ObjectNode bounds = root.putObject("bounds").put("cold", true).put("customers", false);
        if (together.further() > 0) {
            bounds.putObject("further")
                    .put("dispatches", together.further())
                    .put("windowMs", together.furtherWindowMs());
        }
        root.put("driftPpm", together.driftPpm()).put("clocksOffMs", together.clocksOffMs());
        return root.toPrettyString();
    }
}
