package sprucehold.clients;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.MultiMap;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import sprucehold.coordinator.Payload;
import sprucehold.coordinator.Query;

/**
 * Reads a client's query from the headers and body of a request. Ambiguous input, which two parsers
 * might read differently, is rejected.
 *
 * <table>
 *   <caption>Headers and keys of a query</caption>
 *   <tr><th>in HTTP</th><th>term in the code</th></tr>
 *   <tr><td>path and header {@code X-Class}, which must be equal</td>
 *       <td>{@code queryClass}</td></tr>
 *   <tr><td>header {@code X-Request-Id}</td><td>{@code id}</td></tr>
 *   <tr><td>header {@code X-Tenant}</td><td>{@code tenant}</td></tr>
 *   <tr><td>header {@code X-Deadline-Ms}</td><td>{@code timeLeftMs}, after
 *       subtraction of the time already spent</td></tr>
 *   <tr><td>header {@code Idempotency-Key}</td><td>{@code idempotencyKey}</td></tr>
 *   <tr><td>key {@code buckets[]}</td><td>{@code parts}</td></tr>
 *   <tr><td>key {@code buckets[].bucket}</td><td>{@code shard} of a part</td></tr>
 *   <tr><td>key {@code buckets[].part}</td><td>{@code weight} of a part</td></tr>
 *   <tr><td>key {@code body}</td><td>{@code body}</td></tr>
 * </table>
 */
final class QueryReader {
    /**
     * Keeps no table of the names it has read, since clients may send ever new ones of up to the
     * length of a body.
     */
    private static final JsonFactory NAMES_NOT_KEPT =
            JsonFactory.builder()
                    .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .build();

    private static final ObjectMapper JSON =
            JsonMapper.builder(NAMES_NOT_KEPT)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    private static final String REQUEST_ID = "X-Request-Id";
    private static final String QUERY_CLASS = "X-Class";
    private static final String TENANT = "X-Tenant";
    private static final String DEADLINE = "X-Deadline-Ms";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final List<String> SINGLE_HEADERS =
            List.of(REQUEST_ID, QUERY_CLASS, TENANT, DEADLINE, IDEMPOTENCY_KEY);

    /** Tolerance of the sum of the weights around 1, since clients send rounded weights. */
    private static final double WEIGHT_TOLERANCE = 0.01;

    /**
     * Valid idempotency keys: 1 to 128 visible ASCII characters without commas. A frame to a shard
     * server has the key in a comma-separated list on a line whose fields are separated by spaces.
     */
    private static final Pattern LIST_VALUE = Pattern.compile("[!-+\\--~]{1,128}");

    private final int shards;

    /**
     * Thrown if a request can't be read as a query. The message states the reason and is sent to
     * the client.
     */
    static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /**
     * @param shards number of shards
     */
    QueryReader(int shards) {
        this.shards = shards;
    }

    /**
     * Reads a query.
     *
     * @param queryClass query class named by the path
     * @param headers headers of the request
     * @param body body of the request, which is read to its end
     * @param spentMs time since the request began to arrive, in milliseconds; it is subtracted from
     *     the client's deadline
     * @throws MalformedException if the request isn't a valid query
     */
    Query read(String queryClass, MultiMap headers, InputStream body, double spentMs)
            throws MalformedException {
        for (String name : SINGLE_HEADERS) {
            if (headers.getAll(name).size() > 1) {
                throw new MalformedException(name + " must stand once");
            }
        }
        String id = headers.get(REQUEST_ID);
        if (id == null || !id.matches("[!-~]{1,128}")) {
            throw new MalformedException(REQUEST_ID + " must be 1 to 128 visible characters");
        }
        if (!queryClass.equals(headers.get(QUERY_CLASS))) {
            throw new MalformedException(QUERY_CLASS + " and path must agree");
        }
        String deadline = headers.get(DEADLINE);
        if (deadline == null || !deadline.matches("[0-9]{1,9}")) {
            throw new MalformedException(DEADLINE + " must be whole milliseconds");
        }
        Optional<String> key = Optional.ofNullable(headers.get(IDEMPOTENCY_KEY));
        if (key.isPresent() && !LIST_VALUE.matcher(key.get()).matches()) {
            throw new MalformedException(
                    IDEMPOTENCY_KEY + " must be 1 to 128 visible characters without commas");
        }
        JsonNode json = json(body);
        return new Query(
                id,
                queryClass,
                headers.get(TENANT),
                Math.max(0, Double.parseDouble(deadline) - spentMs),
                key,
                parts(json.get("buckets")),
                Payload.ofUtf8(json.get("body").textValue()));
    }

    private static JsonNode json(InputStream body) throws MalformedException {
        JsonNode json;
        // The reader decodes a few KiB at a time, and fails on bytes that aren't UTF-8.
        try (var text = new InputStreamReader(body, StandardCharsets.UTF_8.newDecoder())) {
            json = JSON.readTree(text);
        } catch (IOException e) {
            throw new MalformedException("the body is not JSON");
        }
        JsonNode buckets = json.path("buckets");
        if (!buckets.isArray() || buckets.isEmpty() || !json.path("body").isTextual()) {
            throw new MalformedException("the body needs buckets and body");
        }
        return json;
    }

    private List<Query.Part> parts(JsonNode buckets) throws MalformedException {
        double totalWeight = totalWeight(buckets);
        var parts = new ArrayList<Query.Part>(buckets.size());
        Set<Integer> seen = new HashSet<>();
        for (JsonNode bucket : buckets) {
            int shard = bucket.path("bucket").isInt() ? bucket.get("bucket").intValue() : -1;
            if (shard < 0 || shard >= shards || !seen.add(shard)) {
                throw new MalformedException(
                        "each bucket must be one of " + shards + " and stand once");
            }
            // Normalise the weights, so that rounded ones add up to 1.
            parts.add(new Query.Part(shard, bucket.get("part").doubleValue() / totalWeight));
        }
        return parts;
    }

    private static double totalWeight(JsonNode buckets) throws MalformedException {
        double total = 0;
        for (JsonNode bucket : buckets) {
            double weight = bucket.path("part").isNumber() ? bucket.get("part").doubleValue() : -1;
            if (!(weight > 0 && weight <= 1)) {
                throw new MalformedException("each part must be a share of the whole");
            }
            total += weight;
        }
        if (!(Math.abs(total - 1) < WEIGHT_TOLERANCE)) {
            throw new MalformedException("the parts must add up to 1");
        }
        return total;
    }
}
