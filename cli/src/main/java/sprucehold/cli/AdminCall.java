package sprucehold.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

/** Sends HTTP requests to the admin server of a gatherer. */
final class AdminCall {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(5))
                    .build();
    private final String address;
    private final String token;

    /**
     * @param address address of the admin server, as HOST:PORT
     * @param tokenFile file that contains the bearer token of the admin server
     */
    AdminCall(String address, Path tokenFile) throws IOException {
        this.address = address;
        this.token = Files.readString(tokenFile).strip();
    }

    /** The admin server rejected the request; the message states the reason in one line. */
    static final class RequestRejectedException extends IOException {
        private static final long serialVersionUID = 1L;

        RequestRejectedException(String message) {
            super(message);
        }
    }

    /**
     * Returns the JSON body of the response.
     *
     * @param body JSON to send, or null to send no body
     * @throws RequestRejectedException if the status of the response is 400 or more
     * @throws IOException if the admin server did not respond or the response is not JSON
     */
    JsonNode call(String method, String path, JsonNode body) throws IOException {
        HttpRequest request;
        try {
            request =
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofSeconds(10))
                            .header("Authorization", "Bearer " + token)
                            .method(
                                    method,
                                    body == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofString(body.toString()))
                            .build();
        } catch (IllegalArgumentException e) {
            throw new IOException("--door " + address + ": HOST:PORT was expected", e);
        }
        HttpResponse<String> response;
        try {
            response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new IOException("no response from an admin server at " + address, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        JsonNode answer = MAPPER.readTree(response.body());
        if (response.statusCode() >= 400) {
            throw new RequestRejectedException(describeError(answer));
        }
        return answer;
    }

    private static String describeError(JsonNode answer) {
        if (answer.has("error")) {
            return answer.get("error").asText();
        }
        var description = new StringBuilder("turned down");
        for (JsonNode fault : answer.path("faults")) {
            String path = fault.path("path").asText();
            description
                    .append("; ")
                    .append(path.isEmpty() ? "" : path + ": ")
                    .append(fault.path("what").asText())
                    .append(", ")
                    .append(fault.path("mend").asText());
        }
        for (JsonNode change : answer.path("meanwhile").path("changes")) {
            description.append("; meanwhile ").append(change.path("words").asText());
        }
        return description.toString();
    }
}
