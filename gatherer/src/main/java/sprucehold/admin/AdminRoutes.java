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
 * Dispatches requests to the admin server by path.
 *
 * <table>
 * <caption>Paths</caption>
 * <tr><th>request</th><th>response</th></tr>
 * <tr><td>GET /status/NAME</td><td>status of one component of the node</td></tr>
 * <tr><td>GET /change/status</td><td>the state of the version history</td></tr>
 * <tr><td>GET /change/document</td><td>the live document</td></tr>
 * <tr><td>GET /change/history</td><td>the status of each version</td></tr>
 * <tr><td>GET /change/proposal/ID</td><td>the version created from a proposal</td></tr>
 * <tr><td>POST /change/check</td><td>the differences between the live document and the document in
 *     the request, or the errors of the latter; nothing is changed</td></tr>
 * <tr><td>POST /change/propose</td><td>the version created from a document, or its errors</td></tr>
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
     * @param views suppliers of the status shown at {@code /status/NAME}, by name
     * @param handler carries out configuration changes
     */
    AdminRoutes(Map<String, Supplier<JsonNode>> views, ConfigurationHandler handler) {
        this.views = views;
        this.handler = handler;
    }

    AdminResponse get(String path) {
        if (path.startsWith(STATUS_PREFIX)) {
            Supplier<JsonNode> view = views.get(path.substring(STATUS_PREFIX.length()));
            return view == null ? AdminResponse.notFound() : AdminResponse.ok(view.get());
        }
        if (path.startsWith(PROPOSAL_PREFIX)) {
            return proposal(path.substring(PROPOSAL_PREFIX.length()));
        }
        VersionHistory history = handler.history();
        return switch (path) {
            case "/change/status" -> AdminResponse.ok(AdminJson.status(history));
            case "/change/document" ->
                    AdminResponse.ok(DocumentReader.write(history.live().document()));
            case "/change/history" -> AdminResponse.ok(AdminJson.statuses(history.statuses()));
            default -> AdminResponse.notFound();
        };
    }

    private AdminResponse proposal(String id) {
        Long version = handler.history().versionOfProposal(id);
        return version == null
                ? AdminResponse.notFound()
                : AdminResponse.ok(AdminJson.version(version));
    }

    AdminResponse post(String path, byte[] body) {
        JsonNode request;
        try {
            request = AdminJson.parse(body);
        } catch (IOException | RuntimeException e) {
            // The body is untrusted. The operator gets a response whatever exception the parser
            // throws.
            return AdminResponse.badRequest("the body is no JSON");
        }
        if (!request.isObject()) {
            return AdminResponse.badRequest("the body is no JSON object");
        }
        return switch (path) {
            case "/change/check" -> check(request.path("document"));
            case "/change/propose" -> propose(request);
            case "/change/confirm" -> confirm(request);
            case "/change/undo" -> rollBack(request);
            default -> AdminResponse.notFound();
        };
    }

    private static String author(JsonNode request) {
        return request.path("by").asText("");
    }

    private AdminResponse check(JsonNode document) {
        DocumentReader.ReadResult result = DocumentReader.read(AdminJson.bytes(document));
        if (result instanceof DocumentReader.ReadResult.Invalid invalid) {
            return AdminResponse.invalid(AdminJson.errors(invalid.errors()));
        }
        ConfigurationDocument proposed = ((DocumentReader.ReadResult.Valid) result).document();
        List<ValidationError> errors = SemanticValidator.validate(proposed);
        if (!errors.isEmpty()) {
            return AdminResponse.invalid(AdminJson.errors(errors));
        }
        ConfigurationDocument live = handler.history().live().document();
        return AdminResponse.ok(AdminJson.difference(DocumentDifference.between(live, proposed)));
    }

    private AdminResponse propose(JsonNode request) {
        String author = author(request);
        if (!request.path("id").isTextual()
                || author.isEmpty()
                || !request.path("madeFrom").canConvertToLong()) {
            return AdminResponse.badRequest("id, by, madeFrom and document were expected");
        }
        DocumentReader.ReadResult result =
                DocumentReader.read(AdminJson.bytes(request.path("document")));
        if (result instanceof DocumentReader.ReadResult.Invalid invalid) {
            return AdminResponse.invalid(AdminJson.errors(invalid.errors()));
        }
        List<VersionCommand> commands =
                handler.propose(
                        request.get("id").asText(),
                        author,
                        request.get("madeFrom").longValue(),
                        ((DocumentReader.ReadResult.Valid) result).document());
        return responseTo(commands);
    }

    /** Returns the response for the command that answers the proposal; there is always one. */
    private static AdminResponse responseTo(List<VersionCommand> commands) {
        for (VersionCommand command : commands) {
            if (command instanceof VersionCommand.Accepted accepted) {
                return AdminResponse.accepted(AdminJson.accepted(accepted));
            } else if (command instanceof VersionCommand.AlreadyKnown known) {
                return AdminResponse.ok(AdminJson.alreadyKnown(known));
            } else if (command instanceof VersionCommand.Rejected rejected) {
                return AdminResponse.conflict(AdminJson.rejected(rejected));
            }
        }
        throw new IllegalStateException("no command answers the proposal: " + commands);
    }

    private AdminResponse confirm(JsonNode request) {
        if (!namesVersionAndAuthor(request)) {
            return versionAndAuthorExpected();
        }
        long version = request.get("version").longValue();
        if (!isWatched(version)) {
            return neitherWatchedNorStaged(version);
        }
        handler.confirm(version, author(request));
        return AdminResponse.ok(AdminJson.status(handler.history()));
    }

    private AdminResponse rollBack(JsonNode request) {
        if (!namesVersionAndAuthor(request)) {
            return versionAndAuthorExpected();
        }
        long version = request.get("version").longValue();
        if (!isWatched(version) && !isStaged(version)) {
            return neitherWatchedNorStaged(version);
        }
        handler.rollBack(version, author(request));
        return AdminResponse.ok(AdminJson.status(handler.history()));
    }

    private static boolean namesVersionAndAuthor(JsonNode request) {
        return request.path("version").canConvertToLong() && !author(request).isEmpty();
    }

    private static AdminResponse versionAndAuthorExpected() {
        return AdminResponse.badRequest("version (a number) and by were expected");
    }

    private boolean isWatched(long version) {
        VersionHistory history = handler.history();
        return history.watched() && history.live().number() == version;
    }

    private boolean isStaged(long version) {
        VersionHistory history = handler.history();
        return history.staged() != null && history.staged().number() == version;
    }

    private static AdminResponse neitherWatchedNorStaged(long version) {
        return AdminResponse.conflict(
                AdminJson.error("version " + version + " is neither watched nor staged"));
    }
}
