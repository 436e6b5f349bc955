package sprucehold.clients;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import sprucehold.coordinator.Answer;

/** Writes the body of an answer and its advice. */
final class AnswerWriter {
    private static final JsonFactory JSON = new JsonFactory();

    private AnswerWriter() {}

    static byte[] body(Answer.Completed answer) {
        var out = new ByteArrayOutputStream(256);
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
        return BigDecimal.valueOf(ms / 1000)
                .setScale(3, RoundingMode.HALF_UP)
                .stripTrailingZeros()
                .toPlainString();
    }
}
