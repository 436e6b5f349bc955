package sprucehold.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.buffer.Buffer;

/**
 * The answer to an operator's request.
 *
 * @param status the HTTP status
 * @param json the body, one JSON value
 */
record AdminAnswer(int status, Buffer json) {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int UNPROCESSABLE_CONTENT = 422;

    static AdminAnswer ok(JsonNode body) {
        return of(OK, body);
    }

    /** The bytes are JSON already. */
    static AdminAnswer ok(byte[] json) {
        return new AdminAnswer(OK, Buffer.buffer(json));
    }

    static AdminAnswer accepted(JsonNode body) {
        return of(ACCEPTED, body);
    }

    static AdminAnswer badRequest(String message) {
        return of(BAD_REQUEST, AdminJson.error(message));
    }

    static AdminAnswer unauthorized() {
        return of(UNAUTHORIZED, AdminJson.error("no such token"));
    }

    static AdminAnswer notFound() {
        return of(NOT_FOUND, AdminJson.error("no such path"));
    }

    static AdminAnswer conflict(JsonNode body) {
        return of(CONFLICT, body);
    }

    static AdminAnswer tooLarge(int maxBytes) {
        return of(CONTENT_TOO_LARGE, AdminJson.error("at most " + maxBytes + " bytes are read"));
    }

    /** The request can be read, but its document is not valid. */
    static AdminAnswer invalid(JsonNode body) {
        return of(UNPROCESSABLE_CONTENT, body);
    }

    private static AdminAnswer of(int status, JsonNode body) {
        return new AdminAnswer(status, Buffer.buffer(AdminJson.bytes(body)));
    }
}
