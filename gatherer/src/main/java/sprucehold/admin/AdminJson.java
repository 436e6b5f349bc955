package sprucehold.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.ValidationError;
import sprucehold.change.version.Version;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionHistory;
import sprucehold.change.version.VersionStatus;

/**
 * Converts requests and responses of the admin server from and to JSON. Configuration documents are
 * converted by {@link sprucehold.change.document.DocumentReader}.
 *
 * <table>
 * <caption>JSON keys and the fields that they contain</caption>
 * <tr><th>JSON key</th><th>class and field</th></tr>
 * <tr><td>live, watched, confirmed, staged</td><td>{@link VersionHistory}</td></tr>
 * <tr><td>version, madeFrom, by, undoes</td><td>{@link Version}: number, basedOn, author,
 *     rollsBack</td></tr>
 * <tr><td>state, why</td><td>{@link VersionStatus}: stored name of the state, reason</td></tr>
 * <tr><td>already: true</td><td>{@link VersionCommand.AlreadyKnown}</td></tr>
 * <tr><td>risk, changes[]</td><td>{@link DocumentDifference}</td></tr>
 * <tr><td>- path, words, risk</td><td>{@link DocumentDifference.Change}: path, description,
 *     risk</td></tr>
 * <tr><td>faults[]</td><td>errors in a document or proposal</td></tr>
 * <tr><td>- path, what, mend</td><td>{@link ValidationError}: path, problem, remedy</td></tr>
 * <tr><td>meanwhile</td><td>{@link VersionCommand.Rejected#changesSince()}</td></tr>
 * <tr><td>error</td><td>reason why the request failed, one sentence</td></tr>
 * </table>
 */
final class AdminJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    private AdminJson() {}

    /**
     * Parses the body of a request.
     *
     * @throws IOException if the body isn't JSON
     */
    static JsonNode parse(byte[] body) throws IOException {
        return MAPPER.readTree(body);
    }

    static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode a JSON tree", e);
        }
    }

    static ObjectNode error(String message) {
        return MAPPER.createObjectNode().put("error", message);
    }

    static ObjectNode status(VersionHistory history) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("live", history.live().number())
                        .put("watched", history.watched())
                        .put("confirmed", history.confirmed().number());
        if (history.staged() != null) {
            node.put("staged", history.staged().number());
        }
        return node;
    }

    static ArrayNode statuses(List<VersionStatus> statuses) {
        ArrayNode nodes = MAPPER.createArrayNode();
        for (VersionStatus status : statuses) {
            Version version = status.version();
            nodes.addObject()
                    .put("version", version.number())
                    .put("madeFrom", version.basedOn())
                    .put("by", version.author())
                    .put("undoes", version.rollsBack())
                    .put("state", status.state().storedName())
                    .put("why", status.reason());
        }
        return nodes;
    }

    static ObjectNode version(long number) {
        return MAPPER.createObjectNode().put("version", number);
    }

    static ObjectNode accepted(VersionCommand.Accepted accepted) {
        return difference(accepted.difference()).put("version", accepted.version().number());
    }

    static ObjectNode alreadyKnown(VersionCommand.AlreadyKnown known) {
        return version(known.number()).put("already", true);
    }

    static ObjectNode rejected(VersionCommand.Rejected rejected) {
        ObjectNode node = errors(rejected.errors());
        if (rejected.changesSince() != null) {
            node.set("meanwhile", difference(rejected.changesSince()));
        }
        return node;
    }

    static ObjectNode difference(DocumentDifference difference) {
        ObjectNode node = MAPPER.createObjectNode().put("risk", riskName(difference.risk()));
        ArrayNode changes = node.putArray("changes");
        for (DocumentDifference.Change change : difference.changes()) {
            changes.addObject()
                    .put("path", change.path())
                    .put("words", change.description())
                    .put("risk", riskName(change.risk()));
        }
        return node;
    }

    private static String riskName(DocumentDifference.Risk risk) {
        return risk.name().toLowerCase(Locale.ROOT);
    }

    static ObjectNode errors(List<ValidationError> errors) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode nodes = node.putArray("faults");
        for (ValidationError error : errors) {
            nodes.addObject()
                    .put("path", error.path())
                    .put("what", error.problem())
                    .put("mend", error.remedy());
        }
        return node;
    }
}
