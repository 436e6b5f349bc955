package sprucehold.clients;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import sprucehold.coordinator.Answer;

/** Writes responses, and decides for each whether it is the last on its connection. */
final class ResponseWriter {
    private static final String ABANDONED = "abandoned";

    private final ClientConnections<HttpConnection> connections;
    private final Runnable onNoMemory;

    /** Number of responses that aren't completely written. */
    private int pendingWrites;

    private boolean draining;

    /**
     * @param onNoMemory called for each completed answer that fails for lack of memory
     */
    ResponseWriter(ClientConnections<HttpConnection> connections, Runnable onNoMemory) {
        this.connections = connections;
        this.onNoMemory = onNoMemory;
    }

    /** Makes every response from now on the last on its connection. */
    void drain() {
        draining = true;
    }

    /** Returns the number of responses that aren't completely written. */
    int pendingWrites() {
        return pendingWrites;
    }

    /** Writes the final answer of a query. */
    void end(HttpServerRequest request, Answer answer) {
        HttpServerResponse response = request.response();
        if (answer instanceof Answer.Completed completed) {
            endCompleted(request, Buffer.buffer(AnswerWriter.body(completed)));
        } else if (answer instanceof Answer.Rejected rejected) {
            if (rejected.retryAfterMs() > 0) {
                response.putHeader("Retry-After", AnswerWriter.seconds(rejected.retryAfterMs()));
            }
            end(request, 503, "throttled");
        } else {
            end(request, 502, ABANDONED);
        }
    }

    /**
     * Writes a completed answer. If unread answers occupy too much memory, the query fails instead:
     * its parts have run, so the client can't be told that asking again is harmless.
     */
    private void endCompleted(HttpServerRequest request, Buffer body) {
        if (request.response().closed()) {
            return;
        }
        ClientMemory.Account memory = RequestInput.of(request.connection()).memory();
        if (memory.resize(ClientMemory.Use.ANSWER, body.length())) {
            request.response().putHeader("Content-Type", "application/json");
            end(request, 200, body);
        } else {
            onNoMemory.run();
            end(request, 502, ABANDONED);
        }
    }

    /** Writes a response with a line of text. */
    void end(HttpServerRequest request, int status, String line) {
        end(request, status, Buffer.buffer(line + "\n"));
    }

    /** Rejects a request because of its method. */
    void rejectMethod(HttpServerRequest request, String line, String allowed) {
        request.response().putHeader("Allow", allowed);
        end(request, 405, line);
    }

    /**
     * Rejects a request of which more input may follow, ignores all further input on its
     * connection, and closes it.
     */
    void rejectAndClose(HttpServerRequest request, int status, String line) {
        if (!request.response().ended()) {
            end(request, status, Buffer.buffer(line + "\n"), true);
        }
    }

    private void end(HttpServerRequest request, int status, Buffer body) {
        boolean last =
                draining
                        || connections.isCrowded()
                        || connections.isInputIgnored(request.connection());
        end(request, status, body, last);
    }

    private void end(HttpServerRequest request, int status, Buffer body, boolean last) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        HttpConnection connection = request.connection();
        RequestInput input = RequestInput.of(connection);
        input.answerBegun();
        if (last) {
            response.putHeader("Connection", "close");
            connections.lastAnswerBegun(connection);
            input.ignore();
        } else {
            connections.answerBegun(connection);
        }
        pendingWrites++;
        response.setStatusCode(status)
                .end(body)
                .onComplete(
                        done -> {
                            pendingWrites--;
                            input.memory().resize(ClientMemory.Use.ANSWER, 0);
                            if (last) {
                                connections.close(connection);
                            } else {
                                connections.answered(connection);
                                input.answerWritten();
                            }
                        });
    }
}
