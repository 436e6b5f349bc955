package sprucehold.rig.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.ui.Layer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;
import sprucehold.rig.run.RunFolder;
import sprucehold.rig.script.Script;
import sprucehold.rig.verdict.Outcome;
import sprucehold.rig.verdict.Verdict;

/**
 * Renders a run as one HTML page that loads nothing from the network. The page shows the verdict,
 * the figures, and the share of queries completed in time over the course of the run, with the
 * faults marked.
 */
public final class RunPage {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 300;
    private static final double BIN_S = 0.5;

    private RunPage() {}

    public static String html(Script script, RunFolder.Kept kept, Verdict verdict) {
        var html =
                new StringBuilder(
                                "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                        .append(escape(script.name()))
                        .append(
                                "</title>\n<style>body{font-family:sans-serif;max-width:960px;margin:2em "
                                        + "auto}table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;"
                                        + "border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}"
                                        + ".PASSED{color:#060}.BROKEN,.OUT_OF_BAND{color:#900}</style></head><body>\n<h1>")
                        .append(escape(script.name()))
                        .append("</h1>\n<p class=\"")
                        .append(verdict.kind())
                        .append("\"><strong>")
                        .append(verdict.kind().name().replace('_', ' ').toLowerCase(Locale.ROOT))
                        .append("</strong>, seed ")
                        .append(kept.seed())
                        .append("</p>\n");
        if (!verdict.why().isEmpty()) {
            html.append("<ul>");
            verdict.why().stream()
                    .limit(50)
                    .forEach(why -> html.append("<li>").append(escape(why)).append("</li>\n"));
            html.append("</ul>")
                    .append(
                            verdict.why().size() > 50
                                    ? "<p>and " + (verdict.why().size() - 50) + " more</p>"
                                    : "");
        }
        html.append("<table>");
        figures(verdict)
                .forEach(
                        (name, value) ->
                                html.append("<tr><td>")
                                        .append(name)
                                        .append("</td><td>")
                                        .append(value)
                                        .append("</td></tr>\n"));
        html.append("</table>\n<h2>By site</h2>\n")
                .append(svg(chart(kept, "by site", Outcome::site)))
                .append("\n<h2>By table type</h2>\n")
                .append(svg(chart(kept, "by table type", Outcome::tableType)));
        html.append(
                "\n<h2>Faults</h2>\n<table><tr><th>fault</th><th>kind</th><th>of</th><th>from s</th><th>to s</th></tr>\n");
        kept.faults()
                .forEach(
                        span ->
                                html.append("<tr><td>")
                                        .append(escape(span.fault()))
                                        .append("</td><td>")
                                        .append(span.kind().name().toLowerCase(Locale.ROOT))
                                        .append("</td><td>")
                                        .append(escape(String.join(" ", span.of())))
                                        .append(
                                                String.format(
                                                        Locale.ROOT,
                                                        "</td><td>%.2f</td><td>%.2f</td></tr>%n",
                                                        span.fromS(),
                                                        span.toS())));
        return html.append("</table>\n</body></html>\n").toString();
    }

    /** Returns only the chart by site, as an SVG file. */
    public static String svg(RunFolder.Kept kept) {
        return svg(chart(kept, "by site", Outcome::site));
    }

    /** Returns the figures of a verdict as text for display, keyed by their labels. */
    public static Map<String, String> figures(Verdict verdict) {
        var figures = verdict.figures();
        var rows = new LinkedHashMap<String, String>();
        rows.put("scans", String.valueOf(figures.scans()));
        rows.put("completed in target time", String.format(Locale.ROOT, "%.3f", figures.service()));
        figures.ends()
                .forEach(
                        (end, count) ->
                                rows.put(
                                        "ended " + end.toLowerCase(Locale.ROOT).replace('_', ' '),
                                        String.valueOf(count)));
        rows.put(
                "time of completed, p50 and p99",
                String.format(Locale.ROOT, "%.1f and %.1f ms", figures.p50Ms(), figures.p99Ms()));
        rows.put(
                "the rig sent late, p99",
                String.format(Locale.ROOT, "%.1f ms", figures.sendLateP99Ms()));
        rows.put(
                "the rig's timers late, p99 and worst",
                String.format(
                        Locale.ROOT,
                        "%.1f and %.1f ms",
                        figures.loopLateP99Ms(),
                        figures.loopLateMostMs()));
        rows.put("cores used by the rig", String.format(Locale.ROOT, "%.2f", figures.rigCores()));
        rows.put(
                "most memory of a gatherer",
                String.format(Locale.ROOT, "%.0f MB", figures.memoryMb()));
        rows.put(
                "cores used by the busiest gatherer",
                String.format(Locale.ROOT, "%.2f", figures.gathererCores()));
        rows.put(
                "most that a cold server was pushed",
                String.format(Locale.ROOT, "%.2f of what pushes it over", figures.coldMost()));
        return rows;
    }

    private static JFreeChart chart(
            RunFolder.Kept kept, String title, Function<Outcome, String> group) {
        Map<String, Map<Integer, List<Outcome>>> bins = new TreeMap<>();
        kept.outcomes()
                .forEach(
                        outcome ->
                                bins.computeIfAbsent(group.apply(outcome), key -> new TreeMap<>())
                                        .computeIfAbsent(
                                                (int) (outcome.plannedMs() / 1000 / BIN_S),
                                                bin -> new ArrayList<>())
                                        .add(outcome));
        var data = new XYSeriesCollection();
        bins.forEach(
                (name, outcomesByBin) -> {
                    var series = new XYSeries(name);
                    outcomesByBin.forEach(
                            (bin, outcomes) ->
                                    series.add(
                                            (bin + 0.5) * BIN_S,
                                            (double)
                                                            outcomes.stream()
                                                                    .filter(Outcome::inTime)
                                                                    .count()
                                                    / outcomes.size()));
                    data.addSeries(series);
                });
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        "completed in target time, " + title,
                        "seconds",
                        "share",
                        data,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false);
        XYPlot plot = chart.getXYPlot();
        plot.getRangeAxis().setRange(0, 1.05);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        for (int i = 0; i < data.getSeriesCount(); i++) {
            plot.getRenderer().setSeriesStroke(i, new BasicStroke(2));
        }
        for (RunFolder.Span span : kept.faults()) {
            var marker =
                    new IntervalMarker(
                            span.fromS(),
                            Math.max(span.toS(), span.fromS() + 0.05),
                            new Color(220, 60, 60, 40));
            marker.setLabel(span.fault());
            plot.addDomainMarker(marker, Layer.BACKGROUND);
        }
        return chart;
    }

    private static String svg(JFreeChart chart) {
        var svg = new SVGGraphics2D(WIDTH, HEIGHT);
        chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        return svg.getSVGElement();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
