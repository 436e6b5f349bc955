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

/** Calls a gatherer's door. */
final class AdminCall {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(5))
                    .build();
    private final String door;
    private final String token;

    /**
     * @param tokenFile holds what the door wants to be shown
     */
    AdminCall(String door, Path tokenFile) throws IOException {
        this.door = door;
        this.token = Files.readString(tokenFile).strip();
    }

    /** The door answered, and would not take what was asked; the message says why in one line. */
    static final class TurnedDownException extends IOException {
        private static final long serialVersionUID = 1L;

        TurnedDownException(String message) {
            super(message);
        }
    }

    /**
     * @throws TurnedDownException where the door said no; any other where it didn't answer
     */
    JsonNode call(String method, String path, JsonNode body) throws IOException {
        HttpRequest request;
        try {
            request =
                    HttpRequest.newBuilder(URI.create("http://" + door + path))
                            .timeout(Duration.ofSeconds(10))
                            .header("Authorization", "Bearer " + token)
                            .method(
                                    method,
                                    body == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofString(body.toString()))
                            .build();
        } catch (IllegalArgumentException e) {
            throw new IOException("--door " + door + ": HOST:PORT was expected", e);
        }
        HttpResponse<String> response;
        try {
            response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new IOException("no gatherer's door answers at " + door, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        JsonNode answer = MAPPER.readTree(response.body());
        if (response.statusCode() >= 400) {
            throw new TurnedDownException(words(answer));
        }
        return answer;
    }

    private static String words(JsonNode answer) {
        if (answer.has("error")) {
            return answer.get("error").asText();
        }
        var words = new StringBuilder("turned down");
        for (JsonNode fault : answer.path("faults")) {
            String path = fault.path("path").asText();
            words.append("; ")
                    .append(path.isEmpty() ? "" : path + ": ")
                    .append(fault.path("what").asText())
                    .append(", ")
                    .append(fault.path("mend").asText());
        }
        for (JsonNode change : answer.path("meanwhile").path("changes")) {
            words.append("; meanwhile ").append(change.path("words").asText());
        }
        return words.toString();
    }
}
