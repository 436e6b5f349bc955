package sprucehold.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import sprucehold.change.document.ConfigurationDocument;
import sprucehold.change.document.DocumentDifference;
import sprucehold.change.document.DocumentReader;
import sprucehold.change.document.SemanticValidator;
import sprucehold.change.document.ValidationError;
import sprucehold.change.version.VersionCommand;
import sprucehold.change.version.VersionHistory;

/**
 * The paths of the admin server.
 *
 * <table>
 * <caption>Paths</caption>
 * <tr><th>request</th><th>answer</th></tr>
 * <tr><td>GET /status/NAME</td><td>a view of a part of the node</td></tr>
 * <tr><td>GET /change/status</td><td>the state of the version history</td></tr>
 * <tr><td>GET /change/document</td><td>the live document</td></tr>
 * <tr><td>GET /change/history</td><td>the status of each version</td></tr>
 * <tr><td>GET /change/proposal/ID</td><td>the version that a proposal became</td></tr>
 * <tr><td>POST /change/check</td><td>what a document would change, or its errors</td></tr>
 * <tr><td>POST /change/propose</td><td>the version that a document became, or its errors</td></tr>
 * <tr><td>POST /change/confirm</td><td>the state, after the watched version is confirmed</td></tr>
 * <tr><td>POST /change/undo</td><td>the state, after the watched version is rolled back or the
 *     staged one withdrawn</td></tr>
 * </table>
 */
final class AdminRoutes {
    private static final String STATUS_PREFIX = "/status/";
    private static final String PROPOSAL_PREFIX = "/change/proposal/";

    private final Map<String, Supplier<JsonNode>> views;
    private final ConfigurationHandler handler;

    /**
     * @param views what can be seen at {@code /status/}, by name
     * @param handler takes the changes
     */
    AdminRoutes(Map<String, Supplier<JsonNode>> views, ConfigurationHandler handler) {
        this.views = views;
        this.handler = handler;
    }

    AdminAnswer get(String path) {
        if (path.startsWith(STATUS_PREFIX)) {
            Supplier<JsonNode> view = views.get(path.substring(STATUS_PREFIX.length()));
            return view == null ? AdminAnswer.notFound() : AdminAnswer.ok(view.get());
        }
        if (path.startsWith(PROPOSAL_PREFIX)) {
            return proposal(path.substring(PROPOSAL_PREFIX.length()));
        }
        VersionHistory history = handler.history();
        return switch (path) {
            case "/change/status" -> AdminAnswer.ok(AdminJson.status(history));
            case "/change/document" ->
                    AdminAnswer.ok(DocumentReader.write(history.live().document()));
            case "/change/history" -> AdminAnswer.ok(AdminJson.statuses(history.statuses()));
            default -> AdminAnswer.notFound();
        };
    }

    private AdminAnswer proposal(String id) {
        Long version = handler.history().versionOfProposal(id);
        return version == null
                ? AdminAnswer.notFound()
                : AdminAnswer.ok(AdminJson.version(version));
    }

    AdminAnswer post(String path, byte[] body) {
        JsonNode request;
        try {
            request = AdminJson.parse(body);
        } catch (IOException | RuntimeException e) {
            // Whatever the parser makes of a body that may be anything, the caller is answered.
            return AdminAnswer.badRequest("the body is no JSON");
        }
        if (!request.isObject()) {
            return AdminAnswer.badRequest("the body is no JSON object");
        }
        return switch (path) {
            case "/change/check" -> check(request.path("document"));
            case "/change/propose" -> propose(request);
            case "/change/confirm" -> confirm(request);
            case "/change/undo" -> rollBack(request);
            default -> AdminAnswer.notFound();
        };
    }

    private static String author(JsonNode request) {
        return request.path("by").asText("");
    }

    private AdminAnswer check(JsonNode document) {
        DocumentReader.ReadResult result = DocumentReader.read(AdminJson.bytes(document));
        if (result instanceof DocumentReader.ReadResult.Invalid invalid) {
            return AdminAnswer.invalid(AdminJson.errors(invalid.errors()));
        }
        ConfigurationDocument read = ((DocumentReader.ReadResult.Valid) result).document();
        List<ValidationError> errors = SemanticValidator.validate(read);
        if (!errors.isEmpty()) {
            return AdminAnswer.invalid(AdminJson.errors(errors));
        }
        ConfigurationDocument live = handler.history().live().document();
        return AdminAnswer.ok(AdminJson.difference(DocumentDifference.between(live, read)));
    }

    private AdminAnswer propose(JsonNode request) {
        String author = author(request);
        if (!request.path("id").isTextual()
                || author.isEmpty()
                || !request.path("madeFrom").canConvertToLong()) {
            return AdminAnswer.badRequest("id, by, madeFrom and document were expected");
        }
        DocumentReader.ReadResult result =
                DocumentReader.read(AdminJson.bytes(request.path("document")));
        if (result instanceof DocumentReader.ReadResult.Invalid invalid) {
            return AdminAnswer.invalid(AdminJson.errors(invalid.errors()));
        }
        List<VersionCommand> commands =
                handler.propose(
                        request.get("id").asText(),
                        author,
                        request.get("madeFrom").longValue(),
                        ((DocumentReader.ReadResult.Valid) result).document());
        return answerTo(commands);
    }

    /** The answer among the commands; every proposal has one. */
    private static AdminAnswer answerTo(List<VersionCommand> commands) {
        for (VersionCommand command : commands) {
            if (command instanceof VersionCommand.Accepted accepted) {
                return AdminAnswer.accepted(AdminJson.accepted(accepted));
            } else if (command instanceof VersionCommand.AlreadyKnown known) {
                return AdminAnswer.ok(AdminJson.alreadyKnown(known));
            } else if (command instanceof VersionCommand.Rejected rejected) {
                return AdminAnswer.conflict(AdminJson.rejected(rejected));
            }
        }
        throw new IllegalStateException("a proposal without an answer: " + commands);
    }

    private AdminAnswer confirm(JsonNode request) {
        if (!namesVersionAndAuthor(request)) {
            return versionAndAuthorExpected();
        }
        long version = request.get("version").longValue();
        if (!isWatched(version)) {
            return neitherWatchedNorStaged(version);
        }
        handler.confirm(version, author(request));
        return AdminAnswer.ok(AdminJson.status(handler.history()));
    }

    private AdminAnswer rollBack(JsonNode request) {
        if (!namesVersionAndAuthor(request)) {
            return versionAndAuthorExpected();
        }
        long version = request.get("version").longValue();
        if (!isWatched(version) && !isStaged(version)) {
            return neitherWatchedNorStaged(version);
        }
        handler.rollBack(version, author(request));
        return AdminAnswer.ok(AdminJson.status(handler.history()));
    }

    private static boolean namesVersionAndAuthor(JsonNode request) {
        return request.path("version").canConvertToLong() && !author(request).isEmpty();
    }

    private static AdminAnswer versionAndAuthorExpected() {
        return AdminAnswer.badRequest("version (a number) and by were expected");
    }

    private boolean isWatched(long version) {
        VersionHistory history = handler.history();
        return history.watched() && history.live().number() == version;
    }

    private boolean isStaged(long version) {
        VersionHistory history = handler.history();
        return history.staged() != null && history.staged().number() == version;
    }

    private static AdminAnswer neitherWatchedNorStaged(long version) {
        return AdminAnswer.conflict(
                AdminJson.error("version " + version + " is neither watched nor staged"));
    }
}
