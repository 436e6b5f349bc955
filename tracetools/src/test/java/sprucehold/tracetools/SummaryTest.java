package sprucehold.tracetools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVRecord;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Event;
import sprucehold.decision.Reason;
import sprucehold.decision.Tenant;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;
import sprucehold.trace.event.TraceHeader;
import sprucehold.trace.format.TraceReader;
import sprucehold.tracetools.explanation.QueryExplainer;
import sprucehold.tracetools.explanation.QueryExplanation;
import sprucehold.tracetools.explanation.QueryStatistics;
import sprucehold.tracetools.export.TraceExport;
import sprucehold.tracetools.summary.SummaryPage;
import sprucehold.tracetools.summary.TraceSummary;

public class SummaryTest {
    private Path file;
    private TraceSummary summary;

    @BeforeClass
    public void simulateDay() throws IOException {
        file = DayFiles.simulate(DayFiles.createFolder(), DayFiles.standardPlan(1200, 8)).get(1);
        summary = new TraceSummary();
        try (TraceReader reader = TraceReader.open(file)) {
            summary.add(reader, count -> {});
        }
    }

    @Test
    public void summaryAndExportHaveTheSameCounts() throws IOException {
        var csv = new StringWriter();
        var lines = new StringWriter();
        try (TraceReader reader = TraceReader.open(file)) {
            assertEquals(TraceExport.csv(reader, csv), summary.all().queries());
            assertEquals(TraceExport.jsonLines(reader, lines), reader.records());
        }
        assertEquals(lines.toString().lines().count(), summary.records());
        Map<String, Integer> outcomes = new HashMap<>();
        int dispatches = 0;
        int inTime = 0;
        for (CSVRecord row :
                CSVFormat.RFC4180
                        .builder()
                        .setHeader()
                        .setSkipHeaderRecord(true)
                        .get()
                        .parse(new StringReader(csv.toString()))) {
            outcomes.merge(row.get("outcome"), 1, Integer::sum);
            dispatches += Integer.parseInt(row.get("dispatches"));
            inTime += Boolean.parseBoolean(row.get("in_target_time")) ? 1 : 0;
        }
        for (QueryStatistics.Outcome outcome : QueryStatistics.Outcome.values()) {
            assertEquals(
                    (long) outcomes.getOrDefault(outcome.storedName(), 0),
                    summary.all().count(outcome),
                    outcome.storedName());
        }
        assertEquals(dispatches, summary.all().attempts());
        assertEquals(inTime, summary.all().metLatencyObjective());
        assertEquals(
                summary.byServer().values().stream().mapToLong(group -> group.attempts()).sum(),
                dispatches);
        assertEquals(
                summary.intervals().values().stream().mapToLong(counts -> counts[0]).sum(),
                summary.all().queries());
    }

    @Test
    public void pageContainsItsChartsAndLoadsNothing() {
        String html = SummaryPage.html(summary, "a day");
        assertEquals(html.split("<svg").length - 1, 3);
        String without = html.replaceAll("xmlns(:[a-z]+)?=([\"'])[^\"']*\\2", "");
        assertFalse(without.contains("http"), "something is loaded from elsewhere");
    }

    @Test
    public void tenantNameWithMarkupIsEscaped() throws IOException {
        Source source;
        try (TraceReader reader = TraceReader.open(file)) {
            source = reader.header().sources().get(0);
        }
        Deployment base = source.deployment();
        var hostile = new Tenant("<script>alert(1)</script>", 1);
        var deployment =
                new Deployment(
                        base.gatherers(),
                        base.zone(),
                        base.tickMs(),
                        base.overQuotaPriority(),
                        base.queryClasses(),
                        List.of(hostile),
                        base.layout(),
                        base.limits(),
                        base.slowStart(),
                        base.retryBudget(),
                        base.endpointSubscription());
        List<Entry> entries =
                List.of(
                        PolicyCall.of(
                                0,
                                0,
                                1,
                                List.of(
                                        new Event.QueryReceived(
                                                "s", 1, base.queryClasses().get(0), hostile, 1)),
                                List.of(new Command.RejectQuery("s", 0, Reason.OVERLOAD)),
                                false));
        Path path =
                DayFiles.write(
                        DayFiles.createFolder().resolve("evil.trace"),
                        TraceHeader.of(new Source("g", "b", 1, 1, deployment, source.clock())),
                        entries);
        var hostileSummary = new TraceSummary();
        try (TraceReader reader = TraceReader.open(path)) {
            hostileSummary.add(reader, count -> {});
        }
        assertFalse(SummaryPage.html(hostileSummary, "<b>").contains("<script>"));
    }

    @Test
    public void explanationContainsTheReasonOfEachAttempt() throws IOException {
        try (TraceReader reader = TraceReader.open(file)) {
            String id = null;
            for (Entry entry : DayFiles.readAll(reader.all())) {
                for (Command command : ((PolicyCall) entry).commands()) {
                    if (command instanceof Command.SendAttempt sendAttempt
                            && sendAttempt.reason() == Reason.HEDGE) {
                        id = sendAttempt.partId().substring(0, 16);
                    }
                }
            }
            var collector = new QueryExplanation.Collector(id);
            for (Entry entry : DayFiles.readAll(reader.ofQuery(id))) {
                collector.add(entry);
            }
            assertEquals(collector.explanations().size(), 1);
            String text =
                    String.join(
                            "\n",
                            QueryExplainer.describe(
                                    collector.explanations().get(0),
                                    reader.header().sources().get(0)));
            assertTrue(
                    text.contains(Reason.HEDGE.description())
                            && text.contains(Reason.FIRST_ROUND.description())
                            && text.contains("skipped")
                            && text.contains(" is cancelled"),
                    text);
        }
    }
}
