package sprucehold.clients;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import sprucehold.coordinator.Answer;

/**
 * Writes the body of a completed answer and the time of a rejected one; the statuses are in {@link
 * ClientServer}.
 *
 * <table>
 *   <caption>Keys of an answer</caption>
 *   <tr><th>key</th><th>our term</th></tr>
 *   <tr><td>{@code finished}</td><td>{@code complete}</td></tr>
 *   <tr><td>{@code found[]}</td><td>{@code values}, one a completed part</td></tr>
 *   <tr><td>{@code found[].bucket}</td><td>{@code shard}</td></tr>
 *   <tr><td>{@code found[].item}</td><td>the value as text</td></tr>
 *   <tr><td>{@code Retry-After}</td><td>{@code retryAfterMs}, in seconds</td></tr>
 * </table>
 */
final class AnswerWriter {
    private static final int USUAL_BODY_BYTES = 256;
    private static final int MS_PER_SECOND = 1000;
    private static final int DECIMALS = 3;
    private static final JsonFactory JSON = new JsonFactory();

    private AnswerWriter() {}

    /** The body of a completed answer. */
    static byte[] body(Answer.Completed answer) {
        var out = new ByteArrayOutputStream(USUAL_BODY_BYTES);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeBooleanField("finished", answer.complete());
            json.writeArrayFieldStart("found");
            for (Answer.Value value : answer.values()) {
                json.writeStartObject();
                json.writeNumberField("bucket", value.shard());
                json.writeStringField("item", value.payload().text());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /** Seconds, as short as they can be said to the millisecond: 0.25, 1. */
    static String seconds(double ms) {
        return BigDecimal.valueOf(ms / MS_PER_SECOND)
                .setScale(DECIMALS, RoundingMode.HALF_UP)
                .stripTrailingZeros()
                .toPlainString();
    }
}
