package sprucehold.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;

/**
 * HTTP response to a request by an operator.
 *
 * @param status HTTP status code
 * @param json body, a single JSON value
 */
record AdminResponse(int status, Buffer json) {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int UNPROCESSABLE_CONTENT = 422;

    static AdminResponse ok(JsonNode body) {
        return of(OK, body);
    }

    /** Returns a 200 response with a body that is already encoded as JSON. */
    static AdminResponse ok(byte[] json) {
        return new AdminResponse(OK, Buffer.buffer(json));
    }

    static AdminResponse accepted(JsonNode body) {
        return of(ACCEPTED, body);
    }

    static AdminResponse badRequest(String message) {
        return of(BAD_REQUEST, AdminJson.error(message));
    }

    static AdminResponse unauthorized() {
        return of(UNAUTHORIZED, AdminJson.error("no such token"));
    }

    static AdminResponse notFound() {
        return of(NOT_FOUND, AdminJson.error("no such path"));
    }

    static AdminResponse conflict(JsonNode body) {
        return of(CONFLICT, body);
    }

    static AdminResponse tooLarge(int maxBytes) {
        return of(CONTENT_TOO_LARGE, AdminJson.error("at most " + maxBytes + " bytes are read"));
    }

    /** Returns a 422 response: the request is well-formed, but its document is invalid. */
    static AdminResponse invalid(JsonNode body) {
        return of(UNPROCESSABLE_CONTENT, body);
    }

    private static AdminResponse of(int status, JsonNode body) {
        return new AdminResponse(status, Buffer.buffer(AdminJson.bytes(body)));
    }
}
