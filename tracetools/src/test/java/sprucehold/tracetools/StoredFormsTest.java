package sprucehold.tracetools;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.export.TraceExport;

/**
 * Checks that exports of a trace file of an earlier build keep their keys, columns and values,
 * since scripts read them.
 */
public class StoredFormsTest {
    private static final Path GOLDEN_TRACE =
            Path.of("../trace/src/test/resources/golden-1.1.trace");

    static String resource(String name) throws IOException {
        try (InputStream in = StoredFormsTest.class.getResourceAsStream("/" + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Parses each line to a tree, since the order of keys in a line isn't defined. */
    private static List<JsonNode> parsed(String lines) throws IOException {
        var mapper = new ObjectMapper();
        var nodes = new ArrayList<JsonNode>();
        for (String line : lines.split("\n", -1)) {
            nodes.add(mapper.readTree(line));
        }
        return nodes;
    }

    @Test
    public void jsonLinesOfAnEarlierTraceKeepTheirKeysAndValues() throws IOException {
        var lines = new StringWriter();
        try (TraceReader reader = TraceReader.open(GOLDEN_TRACE)) {
            TraceExport.jsonLines(reader, lines);
        }
        assertEquals(parsed(lines.toString()), parsed(resource("golden-1.1.jsonl")));
    }

    @Test
    public void rowsOfAnEarlierTraceKeepTheirColumnsAndValues() throws IOException {
        var rows = new StringWriter();
        try (TraceReader reader = TraceReader.open(GOLDEN_TRACE)) {
            TraceExport.csv(reader, rows);
        }
        assertEquals(rows.toString(), resource("golden-1.1.csv"));
    }
}
