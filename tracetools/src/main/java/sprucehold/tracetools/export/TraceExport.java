package sprucehold.tracetools.export;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Writer;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import sprucehold.decision.Event;
import sprucehold.storage.StoredJson;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.format.TraceCursor;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.explanation.QueryStatistics;
import sprucehold.tracetools.explanation.QueryStatisticsCollector;

/** Writes a trace as text: each record as a JSON line, or each query as a CSV row. */
public final class TraceExport {
    private static final ObjectMapper MAPPER =
            StoredJson.mapperBuilder()
                    .disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET)
                    .defaultPropertyInclusion(
                            JsonInclude.Value.construct(
                                    JsonInclude.Include.NON_NULL, JsonInclude.Include.NON_NULL))
                    .build();

    private TraceExport() {}

    /** Writes each event, command and gap as a JSON line, and returns the number of lines. */
    public static long jsonLines(TraceReader reader, Writer to) throws IOException {
        long lines = 0;
        TraceCursor cursor = reader.all();
        for (Entry entry = cursor.next(); entry != null; entry = cursor.next()) {
            Source source = reader.header().sources().get(entry.source());
            if (entry instanceof Gap gap) {
                line(
                        to,
                        source,
                        entry,
                        "Gap",
                        MAPPER.createObjectNode()
                                .put("moments", gap.calls())
                                .put("toMs", gap.toMs()));
                lines++;
                continue;
            }
            for (Item item : ((PolicyCall) entry).items()) {
                Object eventOrCommand = item.eventOrCommand();
                ObjectNode fields = MAPPER.valueToTree(eventOrCommand);
                if (eventOrCommand instanceof Event.QueryReceived query) {
                    fields.put("type", query.queryClass().name());
                    fields.put("customer", query.tenant() == null ? null : query.tenant().name());
                }
                line(to, source, entry, StoredJson.kind(eventOrCommand), fields);
                lines++;
            }
        }
        return lines;
    }

    private static void line(Writer to, Source source, Entry entry, String kind, ObjectNode fields)
            throws IOException {
        ObjectNode line =
                MAPPER.createObjectNode()
                        .put("gatherer", source.gatherer())
                        .put("call", entry.seq())
                        .put("ms", entry.nowMs())
                        .put("kind", kind);
        line.setAll(fields);
        MAPPER.writeValue(to, line);
        to.write('\n');
    }

    /** Writes each query as a CSV row, and returns the number of rows, without the header. */
    public static long csv(TraceReader reader, Writer to) throws IOException {
        CSVFormat format =
                CSVFormat.RFC4180
                        .builder()
                        .setHeader(
                                "gatherer",
                                "scan",
                                "table_type",
                                "customer",
                                "taken_ms",
                                "outcome",
                                "reason",
                                "took_ms",
                                "in_target_time",
                                "parts",
                                "dispatches",
                                "further_tries",
                                "second_copies",
                                "servers")
                        .get();
        var printer = new CSVPrinter(to, format);
        long[] rows = {0};
        var failure = new IOException[1];
        var collector =
                new QueryStatisticsCollector(
                        statistics -> {
                            try {
                                row(printer, reader, statistics);
                                rows[0]++;
                            } catch (IOException e) {
                                failure[0] = e;
                            }
                        });
        TraceCursor cursor = reader.all();
        for (Entry entry = cursor.next();
                entry != null && failure[0] == null;
                entry = cursor.next()) {
            collector.add(entry);
        }
        collector.end();
        printer.flush();
        if (failure[0] != null) {
            throw failure[0];
        }
        return rows[0];
    }

    private static void row(CSVPrinter printer, TraceReader reader, QueryStatistics statistics)
            throws IOException {
        var received = statistics.query().received();
        printer.printRecord(
                reader.header().sources().get(statistics.query().source()).gatherer(),
                received.id(),
                received.queryClass().name(),
                statistics.tenant(),
                statistics.query().receivedMs(),
                statistics.outcome().storedName(),
                statistics.reason().storedName(),
                Double.isNaN(statistics.durationMs()) ? "" : statistics.durationMs(),
                statistics.metLatencyObjective(),
                statistics.parts(),
                statistics.attempts(),
                statistics.retries(),
                statistics.hedges(),
                String.join(" ", statistics.servers()));
    }
}
