package sprucehold.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** Tests of log records as JSON lines. */
public class JsonLogFormatterTest {
    @Test
    public void recordIsFormattedAsOneLineWithItsFields() throws IOException {
        var line = new LogRecord(Level.WARNING, "two\nlines \"quoted\" and {0}");
        line.setLoggerName("sprucehold.x");
        line.setParameters(
                new Object[] {Map.of("version", 7L, "late", true, "took_ms", 1.5, "scan", "a\"b")});
        line.setThrown(new IllegalStateException("lost"));
        String text = new JsonLogFormatter().format(line);
        assertEquals(text.lines().count(), 1);
        JsonNode node = new ObjectMapper().readTree(text);
        assertEquals(node.get("version").longValue(), 7);
        assertEquals(node.get("scan").asText(), "a\"b");
        assertTrue(node.get("late").booleanValue() && node.get("took_ms").doubleValue() == 1.5);
        assertTrue(node.get("thrown").asText().contains("lost"));
        assertEquals(node.get("level").asText(), "WARNING");
    }
}
