package sprucehold.tracetools.summary;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.util.Date;
import java.util.Locale;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.time.FixedMillisecond;
import org.jfree.data.time.TimeSeries;
import org.jfree.data.time.TimeSeriesCollection;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.Reason;
import sprucehold.tracetools.explanation.QueryStatistics;

/** Renders a summary as one HTML page with embedded charts, which opens without a network. */
public final class SummaryPage {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 280;
    private static final double[] PERCENTILES = {50, 75, 90, 95, 99, 99.9};

    private final TraceSummary summary;
    private final StringBuilder html = new StringBuilder();

    private SummaryPage(TraceSummary summary) {
        this.summary = summary;
    }

    /**
     * @param title title and heading of the page
     */
    public static String html(TraceSummary summary, String title) {
        var page = new SummaryPage(summary);
        page.write(title);
        return page.html.toString();
    }

    private void write(String title) {
        html.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append(
                        "</title>\n<style>body{font-family:sans-serif;max-width:960px;margin:2em auto}table{border-coll"
                                + "apse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid "
                                + "#ddd}td:first-child,th:first-child{text-align:left}</style></head><body>\n<h1>")
                .append(escape(title))
                .append("</h1>\n");
        html.append("<p>")
                .append(summary.all().queries())
                .append(" scans, ")
                .append(summary.records())
                .append(" events and actions")
                .append(
                        summary.gaps() == 0
                                ? ""
                                : "; "
                                        + summary.notRecorded()
                                        + " calls not recorded in "
                                        + summary.gaps()
                                        + " gaps")
                .append(".</p>\n");
        chart(overTime());
        chart(percentiles());
        html.append("<h2>Table types</h2>\n");
        queryTable(summary.byQueryClass());
        html.append("<h2>Customers</h2>\n");
        queryTable(summary.byTenant());
        html.append("<h2>Gatherers</h2>\n");
        queryTable(summary.byGatherer());
        html.append(
                "<h2>How scans ended, and why</h2>\n<table><tr><th>outcome</th><th>reason</th><th>scans</th></tr>\n");
        summary.outcomes()
                .forEach(
                        (outcome, countsByReason) ->
                                countsByReason.forEach(
                                        (reason, count) ->
                                                row(
                                                        outcome.description(),
                                                        reason.description(),
                                                        count)));
        html.append("</table>\n");
        chart(reasons());
        html.append("<h2>Shard servers</h2>\n<table><tr><th>server</th><th>dispatches</th>");
        for (AttemptOutcome outcome : AttemptOutcome.values()) {
            html.append("<th>")
                    .append(outcome.name().toLowerCase(Locale.ROOT).replace('_', ' '))
                    .append("</th>");
        }
        html.append("<th>p50 ms</th><th>p99 ms</th><th>passed over</th></tr>\n");
        summary.byServer()
                .forEach(
                        (name, group) -> {
                            html.append("<tr><td>")
                                    .append(escape(name))
                                    .append("</td><td>")
                                    .append(group.attempts())
                                    .append("</td>");
                            for (AttemptOutcome outcome : AttemptOutcome.values()) {
                                html.append("<td>").append(group.count(outcome)).append("</td>");
                            }
                            long skipped =
                                    group.skipped().values().stream()
                                            .mapToLong(count -> count)
                                            .sum();
                            html.append("<td>")
                                    .append(number(group.percentileMs(50)))
                                    .append("</td><td>")
                                    .append(number(group.percentileMs(99)))
                                    .append("</td><td>")
                                    .append(skipped)
                                    .append("</td></tr>\n");
                        });
        html.append("</table>\n</body></html>\n");
    }

    private void queryTable(Map<String, QueryGroup> groups) {
        html.append(
                "<table><tr><th></th><th>scans</th><th>whole</th><th>in part</th><th>throttled</th><th>abandoned"
                        + "</th><th>client left</th><th>in target time</th><th>service</th><th>dispatches</th><th>copies</th>"
                        + "<th>p50 ms</th><th>p99 ms</th></tr>\n");
        groups.forEach(
                (name, group) ->
                        row(
                                name,
                                group.queries(),
                                group.count(QueryStatistics.Outcome.COMPLETE),
                                group.count(QueryStatistics.Outcome.PARTIAL),
                                group.count(QueryStatistics.Outcome.REJECTED),
                                group.count(QueryStatistics.Outcome.FAILED),
                                group.count(QueryStatistics.Outcome.CLIENT_DISCONNECTED),
                                group.metLatencyObjective(),
                                String.format(Locale.ROOT, "%.3f", group.benefitRatio()),
                                group.attempts(),
                                group.hedges(),
                                number(group.percentileMs(50)),
                                number(group.percentileMs(99))));
        html.append("</table>\n");
    }

    private void row(Object... cells) {
        html.append("<tr>");
        for (Object cell : cells) {
            html.append("<td>").append(escape(String.valueOf(cell))).append("</td>");
        }
        html.append("</tr>\n");
    }

    private JFreeChart overTime() {
        var received = new TimeSeries("asked");
        var inTime = new TimeSeries("in target time");
        var rejected = new TimeSeries("throttled");
        var failed = new TimeSeries("abandoned");
        double perSecond = 1000 / summary.intervalMs();
        summary.intervals()
                .forEach(
                        (index, counts) -> {
                            var time =
                                    new FixedMillisecond(
                                            new Date((long) (index * summary.intervalMs())));
                            received.add(time, counts[0] * perSecond);
                            inTime.add(time, counts[1] * perSecond);
                            rejected.add(time, counts[2] * perSecond);
                            failed.add(time, counts[3] * perSecond);
                        });
        var data = new TimeSeriesCollection();
        data.addSeries(received);
        data.addSeries(inTime);
        data.addSeries(rejected);
        data.addSeries(failed);
        return ChartFactory.createTimeSeriesChart("Scans a second", null, null, data);
    }

    private JFreeChart percentiles() {
        var data = new XYSeriesCollection();
        summary.byQueryClass()
                .forEach(
                        (name, group) -> {
                            var series = new XYSeries(name);
                            for (double percentile : PERCENTILES) {
                                if (!Double.isNaN(group.percentileMs(percentile))) {
                                    // Logarithmic scale: 90% is at 1, 99% at 2, 99.9% at 3.
                                    series.add(
                                            -Math.log10(1 - percentile / 100),
                                            group.percentileMs(percentile));
                                }
                            }
                            data.addSeries(series);
                        });
        return ChartFactory.createXYLineChart(
                "Times of completed scans", "nines: 1 is 90%, 2 is 99%", "ms", data);
    }

    private JFreeChart reasons() {
        var data = new DefaultCategoryDataset();
        for (Reason reason :
                new Reason[] {
                    Reason.FIRST_ROUND,
                    Reason.LATER_ROUND,
                    Reason.ROUND_AFTER_EMPTY,
                    Reason.REPLICA_AVAILABLE,
                    Reason.RETRY,
                    Reason.RETRY_NOT_RUN,
                    Reason.HEDGE
                }) {
            data.addValue(
                    summary.reasons().getOrDefault(reason, 0L),
                    "dispatches",
                    reason.name().toLowerCase(Locale.ROOT).replace('_', ' '));
        }
        return ChartFactory.createBarChart(
                "Why parts went out",
                null,
                "dispatches",
                data,
                PlotOrientation.HORIZONTAL,
                false,
                false,
                false);
    }

    private void chart(JFreeChart chart) {
        chart.setBackgroundPaint(Color.WHITE);
        if (chart.getPlot() instanceof XYPlot plot) {
            plot.setBackgroundPaint(Color.WHITE);
            plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
            if (plot.getRenderer() instanceof XYLineAndShapeRenderer lines) {
                lines.setDefaultStroke(new BasicStroke(1.6f));
            }
        }
        var svg = new SVGGraphics2D(WIDTH, HEIGHT);
        chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        html.append(svg.getSVGElement()).append('\n');
    }

    private static String number(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.1f", value);
    }

    /** Escapes a text for HTML. Names come from clients and must not be interpreted as markup. */
    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }
}
