package cranedeal.lab.report;

import cranedeal.lab.history.Event;
import cranedeal.lab.history.Event.Life;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Writes the self-contained HTML report of one run: its results, and plots over time with the faults marked.
 * It reads the history for what the summary lacks: process states, memory and CPU over time.
 */
public final class HtmlReport implements Consumer<Event> {

    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 300;
    private static final int HEIGHT_PER_PROCESS = 14;
    private static final int MAX_LEGEND_SERIES = 12;
    private static final double MS_PER_S = 1_000;
    private static final double KB_PER_MB = 1_024;
    private static final double PERCENT = 100;

    /** Arguments: the experiment's name, the verdict as a CSS class, and the verdict as text. */
    private static final String HEAD = """
            <!DOCTYPE html>
            <html lang="en"><meta charset="utf-8">
            <title>%1$s</title>
            <style>
            body { font: 15px sans-serif; max-width: 1000px; margin: 2em auto }
            table { border-collapse: collapse }
            td, th { padding: .2em .8em; text-align: right; border-bottom: 1px solid #ddd }
            img { max-width: 100%% }
            .HELD { color: #176f2c } .BROKEN { color: #b3261e } .VOID { color: #8a6d00 }
            </style>
            <h1>%1$s: <span class="%2$s">%3$s</span></h1>
            """;

    /** The points of one plotted line. */
    private record Line(List<Double> x, List<Double> y) {

        Line() {
            this(new ArrayList<>(), new ArrayList<>());
        }

        void add(double atX, double atY) {
            x.add(atX);
            y.add(atY);
        }
    }

    private final Map<String, Line> memory = new LinkedHashMap<>();
    private final Map<String, Line> cpu = new LinkedHashMap<>();
    private final Map<String, Event.ProcessUsage> last = new LinkedHashMap<>();
    private final Map<String, Line> lives = new LinkedHashMap<>();
    private double loadBegan = Double.NaN;

    @Override
    public void accept(Event event) {
        if (event instanceof Event.LoadChanged loaded && loaded.begins()) {
            loadBegan = loaded.at();
        } else if (event instanceof Event.ProcessUsage used && !Double.isNaN(loadBegan)) {
            double second = (used.at() - loadBegan) / MS_PER_S;
            line(memory, used.process()).add(second, used.rssKb() / KB_PER_MB);
            Event.ProcessUsage before = last.put(used.process(), used);
            if (before != null && used.at() > before.at() && used.cpuMs() >= before.cpuMs()) {
                line(cpu, used.process()).add(second,
                        PERCENT * (used.cpuMs() - before.cpuMs()) / (used.at() - before.at()));
            }
        } else if (event instanceof Event.ProcessChanged lived && !Double.isNaN(loadBegan)) {
            boolean serves = lived.life() == Life.READY || lived.life() == Life.RESUMED;
            boolean stops = lived.life() == Life.KILLED || lived.life() == Life.PAUSED
                    || lived.life() == Life.EXITED;
            if (serves || stops) {
                line(lives, lived.process()).add((lived.at() - loadBegan) / MS_PER_S, serves ? 1 : 0);
            }
        }
    }

    private static Line line(Map<String, Line> lines, String name) {
        return lines.computeIfAbsent(name, absent -> new Line());
    }

    /** Writes the report. */
    public void write(Summary summary, Path file) throws IOException {
        StringBuilder page = new StringBuilder(HEAD.formatted(escape(summary.experiment()),
                summary.verdict(), summary.verdict().name().toLowerCase(Locale.ROOT)));
        if (!summary.complaints().isEmpty()) {
            page.append("<ul>");
            summary.complaints().forEach(why -> page.append("<li>").append(escape(why)));
            page.append("</ul>\n");
        }
        figures(page, summary);
        List<Double> seconds = summary.seconds().stream().map(second -> second.second() + 0.5).toList();
        if (!seconds.isEmpty()) {
            plot(page, shares(summary, seconds), summary);
            plot(page, latencies(summary, seconds), summary);
        }
        plot(page, lives(summary), summary);
        plot(page, lines("Resident memory of each process", "MB", memory), summary);
        plot(page, lines("CPU of each process", "% of a core", cpu), summary);
        Files.writeString(file, page);
    }

    private static void figures(StringBuilder page, Summary of) {
        header(page, "requests", "served", "refused", "failed", "lost", "attempts each", "p50 ms", "p99 ms",
                "max ms", "generator late, p99 ms");
        page.append("<tr>");
        cells(page, of.requests(), of.served(), of.refused(), of.failed(), of.lost(), of.attempts(),
                of.p50Ms(), of.p99Ms(), of.maxMs(), of.lateMs());
        page.append("</table>\n<h2>Faults</h2>\n");
        header(page, "fault", "from s", "to s", "recovered after ms");
        for (Summary.Recovery fault : of.faults()) {
            page.append("<tr><td>").append(escape(fault.title()));
            cells(page, fault.beginMs() / MS_PER_S, fault.endMs() / MS_PER_S, fault.recoveryMs());
        }
        page.append("</table>\n<h2>Returns</h2>\n");
        header(page, "process", "started s", "ready ms", "first served ms", "full share ms",
                "500s received in 10 s");
        for (Summary.Return back : of.returns()) {
            page.append("<tr><td>").append(escape(back.process()));
            cells(page, back.startMs() / MS_PER_S, back.readyMs(), back.firstServedMs(), back.fullShareMs(),
                    back.metAgain());
        }
        page.append("</table>\n<h2>Rules</h2>\n<table>");
        of.rules().forEach(rule -> page.append("<tr><td>").append(rule.rule()).append("<td>")
                .append(rule.holds() ? "kept" : "broken " + rule.count() + " times"));
        page.append("</table>\n");
    }

    private static void header(StringBuilder page, String... names) {
        page.append("<table><tr><th>").append(String.join("<th>", names));
    }

    private static void cells(StringBuilder page, double... values) {
        for (double value : values) {
            page.append("<td>").append(Double.isNaN(value) ? "-" : value == Math.rint(value)
                    ? String.format(Locale.ROOT, "%.0f", value) : String.format(Locale.ROOT, "%.4g", value));
        }
    }

    private static XYChart chart(String title, String y, int height) {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(height).title(title)
                .xAxisTitle("seconds of load").yAxisTitle(y).build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setXAxisMin(0.0);
        return chart;
    }

    private static XYChart shares(Summary of, List<Double> seconds) {
        XYChart chart = chart("How requests ended, by the second in which they were due", "%", HEIGHT);
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(PERCENT);
        add(chart, "served", seconds, of.seconds().stream()
                .map(second -> PERCENT * second.served() / second.requests()).toList());
        add(chart, "refused", seconds, of.seconds().stream()
                .map(second -> PERCENT * second.refused() / second.requests()).toList());
        add(chart, "failed", seconds, of.seconds().stream().map(second -> PERCENT
                * (second.requests() - second.served() - second.refused()) / second.requests()).toList());
        return chart;
    }

    private static XYChart latencies(Summary of, List<Double> seconds) {
        XYChart chart = chart("Latency of served requests, from when they were due", "ms", HEIGHT);
        chart.getStyler().setYAxisLogarithmic(true);
        add(chart, "p50", seconds, of.seconds().stream().map(Summary.Second::p50Ms).toList());
        add(chart, "p99", seconds, of.seconds().stream().map(Summary.Second::p99Ms).toList());
        return chart;
    }

    /** Plots a line for each process that is high while the process serves. */
    private XYChart lives(Summary of) {
        XYChart chart = chart("Processes: each line is high while its process serves", "",
                HEIGHT + HEIGHT_PER_PROCESS * lives.size());
        double end = of.seconds().size();
        int row = 0;
        for (Map.Entry<String, Line> life : lives.entrySet()) {
            Line steps = new Line();
            double level = 1 - life.getValue().y().get(0);
            steps.add(0, row + level * 0.7);
            for (int i = 0; i < life.getValue().x().size(); i++) {
                steps.add(life.getValue().x().get(i), row + level * 0.7);
                level = life.getValue().y().get(i);
                steps.add(life.getValue().x().get(i), row + level * 0.7);
            }
            double lastSeen = life.getValue().x().get(life.getValue().x().size() - 1);
            steps.add(Math.max(end, lastSeen), row + level * 0.7);
            add(chart, life.getKey(), steps.x(), steps.y());
            row++;
        }
        return chart;
    }

    private static XYChart lines(String title, String unit, Map<String, Line> lines) {
        XYChart chart = chart(title, unit, HEIGHT);
        chart.getStyler().setYAxisMin(0.0);
        lines.forEach((name, line) -> add(chart, name, line.x(), line.y()));
        return chart;
    }

    private static void add(XYChart chart, String name, List<Double> x, List<Double> y) {
        List<Double> drawnX = new ArrayList<>();
        List<Double> drawnY = new ArrayList<>();
        for (int i = 0; i < x.size(); i++) {
            if (!Double.isNaN(y.get(i))) {
                drawnX.add(x.get(i));
                drawnY.add(y.get(i));
            }
        }
        if (!drawnX.isEmpty()) {
            chart.addSeries(name, drawnX, drawnY).setMarker(SeriesMarkers.NONE);
        }
    }

    private static void plot(StringBuilder page, XYChart chart, Summary of) throws IOException {
        if (chart.getSeriesMap().isEmpty()) {
            return;
        }
        chart.getStyler().setLegendVisible(chart.getSeriesMap().size() <= MAX_LEGEND_SERIES);
        for (Summary.Recovery fault : of.faults()) {
            chart.addAnnotation(new AnnotationLine(fault.beginMs() / MS_PER_S, true, false));
            if (!Double.isNaN(fault.endMs()) && fault.endMs() > fault.beginMs()) {
                chart.addAnnotation(new AnnotationLine(fault.endMs() / MS_PER_S, true, false));
            }
        }
        byte[] png = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
        page.append("<p><img alt=\"%s\" src=\"data:image/png;base64,%s\"></p>%n".formatted(
                escape(chart.getTitle()), Base64.getEncoder().encodeToString(png)));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
