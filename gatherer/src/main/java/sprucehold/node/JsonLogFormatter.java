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
 * Formats log records as JSON lines: time, level, logger, text, and each entry of the map that is a
 * record's one parameter as a field of its own.
 */
public final class JsonLogFormatter extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();

    /** Makes all lines that are logged from now on JSON lines. */
    public static void enable() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new JsonLogFormatter());
        }
    }

    /**
     * Logs a line for each step of each query and its attempts from now on, with their ids as
     * fields.
     */
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
            throw new UncheckedIOException("a string can't be written to", e);
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
