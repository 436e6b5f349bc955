package sprucehold.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Formats log records as JSON lines with the fields time, level, logger and text. If the only
 * parameter of a record is a map, each of its entries becomes a field.
 */
public final class JsonLogFormatter extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();

    /** Switches all handlers of the root logger to JSON lines. */
    public static void enable() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new JsonLogFormatter());
        }
    }

    /** Enables the log of each step of each query and its attempts, with their ids as fields. */
    public static void enableQueryLog() {
        var handler = new ConsoleHandler();
        handler.setFormatter(new JsonLogFormatter());
        QueryLog.enable(handler);
    }

    @Override
    public String format(LogRecord line) {
        var text = new StringWriter(160);
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("time", Instant.ofEpochMilli(line.getMillis()).toString());
            json.writeStringField("level", line.getLevel().getName());
            json.writeStringField("logger", line.getLoggerName());
            json.writeStringField("text", formatMessage(line));
            if (line.getParameters() != null
                    && line.getParameters().length == 1
                    && line.getParameters()[0] instanceof Map<?, ?> fields) {
                for (Map.Entry<?, ?> field : fields.entrySet()) {
                    field(json, String.valueOf(field.getKey()), field.getValue());
                }
            }
            if (line.getThrown() != null) {
                var trace = new StringWriter();
                line.getThrown().printStackTrace(new PrintWriter(trace, true));
                json.writeStringField("thrown", trace.toString());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write to an in-memory buffer", e);
        }
        return text.append(System.lineSeparator()).toString();
    }

    private static void field(JsonGenerator json, String name, Object value) throws IOException {
        if (value instanceof Long || value instanceof Integer) {
            json.writeNumberField(name, ((Number) value).longValue());
        } else if (value instanceof Double number) {
            json.writeNumberField(name, number);
        } else if (value instanceof Boolean flag) {
            json.writeBooleanField(name, flag);
        } else {
            json.writeStringField(name, String.valueOf(value));
        }
    }
}
