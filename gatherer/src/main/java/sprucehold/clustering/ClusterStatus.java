package sprucehold.clustering;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.session.CoordinationSession;
import sprucehold.decision.ClusterView;
import sprucehold.messaging.PeerMessaging;

/**
 * Status of the cluster as one gatherer observes it, in JSON for operators. This class maps the
 * terms of the code to the JSON keys that operators and their programs read.
 *
 * <table>
 * <caption>Keys</caption>
 * <tr><th>key</th><th>term in this code</th></tr>
 * <tr><td>there</td><td>number of members that are alive, including this gatherer</td></tr>
 * <tr><td>cutOff, health</td><td>isolated, local health</td></tr>
 * <tr><td>life</td><td>generation</td></tr>
 * <tr><td>bounds, bound, home</td><td>limits, name of the limit, own units</td></tr>
 * <tr><td>trouble</td><td>failure scores, failure score</td></tr>
 * <tr><td>letters</td><td>messages</td></tr>
 * <tr><td>unsent, unread</td><td>dropped, not read</td></tr>
 * </table>
 */
final class ClusterStatus {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ClusterStatus() {}

    static JsonNode json(
            String self,
            int othersAlive,
            CoordinationSession.Status status,
            ClusterView view,
            PeerMessaging.Counters counters) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("name", self)
                        .put("there", othersAlive + 1)
                        .put("superseded", status.superseded())
                        .put("cutOff", status.isolated())
                        .put("health", status.localHealth());
        putMembers(node.putArray("members"), status);
        putLimits(node.putArray("bounds"), status);
        putFailureScores(node.putArray("trouble"), view);
        node.putObject("letters")
                .put("sent", counters.sent())
                .put("received", counters.received())
                .put("unsent", counters.dropped() + status.droppedMessages())
                .put("foreign", counters.foreign())
                .put("unread", counters.notRead());
        return node;
    }

    private static void putMembers(ArrayNode members, CoordinationSession.Status status) {
        for (MemberUpdate member : status.members()) {
            members.addObject()
                    .put("name", member.name())
                    .put("site", member.site())
                    .put("state", member.state().storedName().toLowerCase(Locale.ROOT))
                    .put("life", member.generation())
                    .put("incarnation", member.incarnation());
        }
    }

    private static void putLimits(ArrayNode limits, CoordinationSession.Status status) {
        for (Map.Entry<String, CoordinationSession.LimitStatus> entry :
                status.limits().entrySet()) {
            CoordinationSession.LimitStatus limit = entry.getValue();
            limits.addObject()
                    .put("bound", entry.getKey())
                    .put("home", limit.ownUnits())
                    .put("lent", limit.lent())
                    .put("borrowed", limit.borrowed())
                    .put("used", limit.used())
                    .put("free", limit.free());
        }
    }

    private static void putFailureScores(ArrayNode scores, ClusterView view) {
        view.failureScores()
                .forEach(
                        (server, score) ->
                                scores.addObject().put("server", server).put("trouble", score));
    }
}
