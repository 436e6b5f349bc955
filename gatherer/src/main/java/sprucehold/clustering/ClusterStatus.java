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
 * What one gatherer knows of the cluster, as JSON for operators: the edge at which our terms become
 * the keys that they and their programs read.
 *
 * <table>
 * <caption>Keys</caption>
 * <tr><th>key</th><th>here</th></tr>
 * <tr><td>there</td><td>members alive, itself included</td></tr>
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
            PeerMessaging.Tally tally) {
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
                .put("sent", tally.sent())
                .put("received", tally.received())
                .put("unsent", tally.dropped() + status.droppedMessages())
                .put("foreign", tally.foreign())
                .put("unread", tally.notRead());
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
