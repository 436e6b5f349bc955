package sprucehold.clients;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import sprucehold.coordinator.Answer;

/** Writes responses, and decides with each whether it is the last on its connection. */
final class ResponseWriter {
    private final ClientConnections<HttpConnection> connections;

    /** Responses that aren't written out. */
    private int writing;

    private boolean draining;

    ResponseWriter(ClientConnections<HttpConnection> connections) {
        this.connections = connections;
    }

    /** From now on each response is the last on its connection. */
    void drain() {
        draining = true;
    }

    /** How many responses aren't written out. */
    int writing() {
        return writing;
    }

    /** Writes the final answer of a query. */
    void end(HttpServerRequest request, Answer answer) {
        HttpServerResponse response = request.response();
        if (answer instanceof Answer.Completed completed) {
            response.putHeader("Content-Type", "application/json");
            end(request, 200, Buffer.buffer(AnswerWriter.body(completed)));
        } else if (answer instanceof Answer.Rejected rejected) {
            if (rejected.retryAfterMs() > 0) {
                response.putHeader("Retry-After", AnswerWriter.seconds(rejected.retryAfterMs()));
            }
            end(request, 503, "throttled");
        } else {
            end(request, 502, "abandoned");
        }
    }

    /** Writes a line of text. */
    void end(HttpServerRequest request, int status, String line) {
        end(request, status, Buffer.buffer(line + "\n"));
    }

    /** Rejects the method of a request. */
    void rejectMethod(HttpServerRequest request, String line, String allowed) {
        request.response().putHeader("Allow", allowed);
        end(request, 405, line);
    }

    /** Rejects a request of which more may come, and all else on its connection. */
    void rejectLast(HttpServerRequest request, int status, String line) {
        if (!request.response().ended()) {
            end(request, status, Buffer.buffer(line + "\n"), true);
        }
    }

    private void end(HttpServerRequest request, int status, Buffer body) {
        boolean last =
                draining || connections.isCrowded() || connections.isUnheard(request.connection());
        end(request, status, body, last);
    }

    private void end(HttpServerRequest request, int status, Buffer body, boolean last) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            return;
        }
        HttpConnection connection = request.connection();
        if (last) {
            response.putHeader("Connection", "close");
            connections.lastAnswerBegun(connection);
        }
        writing++;
        response.setStatusCode(status)
                .end(body)
                .onComplete(
                        done -> {
                            writing--;
                            if (last) {
                                connections.close(connection);
                            } else {
                                connections.answered(connection);
                            }
                        });
    }
}
