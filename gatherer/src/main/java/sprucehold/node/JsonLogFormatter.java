package sprucehold.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The log as JSON lines: time, level, logger, text, and as fields of their own whatever a line's
 * one parameter holds as a map. Jackson writes them; java.util.logging stays the way in.
 */
public final class JsonLogFormatter extends Formatter {
    private static final JsonFactory JSON = new JsonFactory();

    /** Makes all that is logged from now on JSON lines. */
    public static void enable() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.setFormatter(new JsonLogFormatter());
        }
    }

    /**
     * Logs a line for each scan taken, each dispatch that ends, and each scan that ends, with their
     * ids as fields.
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
            throw new IllegalStateException("a string can't be written to", e);
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
