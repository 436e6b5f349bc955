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
 * Formats the body of a completed answer and the {@code Retry-After} value of a rejected one.
 * {@link ClientServer} lists the statuses.
 *
 * <table>
 *   <caption>Keys of an answer</caption>
 *   <tr><th>key</th><th>term in the code</th></tr>
 *   <tr><td>{@code finished}</td><td>{@code complete}</td></tr>
 *   <tr><td>{@code found[]}</td><td>{@code values}, one per completed part</td></tr>
 *   <tr><td>{@code found[].bucket}</td><td>{@code shard}</td></tr>
 *   <tr><td>{@code found[].item}</td><td>the value as text</td></tr>
 *   <tr><td>{@code Retry-After}</td><td>{@code retryAfterMs}, in seconds</td></tr>
 * </table>
 */
final class AnswerWriter {
    private static final int INITIAL_BODY_BYTES = 256;
    private static final int MS_PER_SECOND = 1000;
    private static final int DECIMALS = 3;
    private static final JsonFactory JSON = new JsonFactory();

    private AnswerWriter() {}

    /** Returns the body of a completed answer. */
    static byte[] body(Answer.Completed answer) {
        var out = new ByteArrayOutputStream(INITIAL_BODY_BYTES);
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.writeStartObject();
            json.writeBooleanField("finished", answer.complete());
            json.writeArrayFieldStart("found");
            for (Answer.Value value : answer.values()) {
                json.writeStartObject();
                json.writeNumberField("bucket", value.shard());
                json.writeStringField("item", value.payload().toUtf8String());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /**
     * Formats a time as seconds with millisecond precision and without trailing zeros, such as 0.25
     * or 1.
     */
    static String seconds(double ms) {
        return BigDecimal.valueOf(ms / MS_PER_SECOND)
                .setScale(DECIMALS, RoundingMode.HALF_UP)
                .stripTrailingZeros()
                .toPlainString();
    }
}
