package sprucehold.clients;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.MultiMap;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import sprucehold.coordinator.Payload;
import sprucehold.coordinator.Query;

/** Reads a client's scan from its headers and body. */
final class QueryReader {
    /** Nothing is guessed: what two readers might take differently is no request. */
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final List<String> ONCE =
            List.of("X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", IDEMPOTENCY_KEY);

    /**
     * What fits as a value into the list of a frame's line, where commas and spaces separate: 1 to
     * 128 characters.
     */
    private static final Pattern LIST_VALUE = Pattern.compile("[!-+\\--~]{1,128}");

    private final int segments;

    /** The request can't be taken for this reason. */
    static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    QueryReader(int segments) {
        this.segments = segments;
    }

    /**
     * {@code spentMs} is how much of the client's time went by since the request began to come in.
     */
    Query read(String tableType, MultiMap headers, byte[] body, double spentMs)
            throws MalformedException {
        for (String name : ONCE) {
            if (headers.getAll(name).size() > 1) {
                throw new MalformedException(name + " must stand once");
            }
        }
        String id = headers.get("X-Request-Id");
        if (id == null || !id.matches("[!-~]{1,128}")) {
            throw new MalformedException("X-Request-Id must be 1 to 128 visible characters");
        }
        if (!tableType.equals(headers.get("X-Class"))) {
            throw new MalformedException("X-Class and path must agree");
        }
        String deadline = headers.get("X-Deadline-Ms");
        if (deadline == null || !deadline.matches("[0-9]{1,9}")) {
            throw new MalformedException("X-Deadline-Ms must be whole milliseconds");
        }
        Optional<String> key = Optional.ofNullable(headers.get(IDEMPOTENCY_KEY));
        if (key.isPresent() && !LIST_VALUE.matcher(key.get()).matches()) {
            throw new MalformedException(
                    IDEMPOTENCY_KEY + " must be 1 to 128 visible characters without commas");
        }
        JsonNode node;
        try {
            node =
                    MAPPER.readTree(
                            StandardCharsets.UTF_8
                                    .newDecoder()
                                    .decode(ByteBuffer.wrap(body))
                                    .toString());
        } catch (JsonProcessingException | CharacterCodingException e) {
            throw new MalformedException("the body is not JSON");
        }
        JsonNode buckets = node.path("buckets");
        if (!buckets.isArray() || buckets.isEmpty() || !node.path("body").isTextual()) {
            throw new MalformedException("the body needs buckets and body");
        }
        var parts = new ArrayList<Query.Part>(buckets.size());
        double whole = 0;
        for (JsonNode bucket : buckets) {
            double weight = bucket.path("part").isNumber() ? bucket.get("part").doubleValue() : -1;
            if (!(weight > 0 && weight <= 1)) {
                throw new MalformedException("each part must be a share of the whole");
            }
            whole += weight;
        }
        if (!(Math.abs(whole - 1) < 0.01)) {
            throw new MalformedException("the parts must add up to 1");
        }
        Set<Integer> seen = new HashSet<>();
        for (JsonNode bucket : buckets) {
            int segment = bucket.path("bucket").isInt() ? bucket.get("bucket").intValue() : -1;
            if (segment < 0 || segment >= segments || !seen.add(segment)) {
                throw new MalformedException(
                        "each bucket must be one of " + segments + " and stand once");
            }
            // Shares that were rounded on the way still make a whole.
            parts.add(new Query.Part(segment, bucket.get("part").doubleValue() / whole));
        }
        return new Query(
                id,
                tableType,
                headers.get("X-Tenant"),
                Math.max(0, Double.parseDouble(deadline) - spentMs),
                key,
                parts,
                Payload.ofText(node.get("body").textValue()));
    }
}
