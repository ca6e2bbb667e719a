package cranedeal.lab.slope;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * The results of one study, as a JSON file whose keys the documentation refers to, a plot, and a text table.
 * Series keep the order in which they were added.
 */
public final class SlopeReport {

    private static final JsonMapper JSON = new JsonMapper();
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 600;

    private final String study;
    private final String command;
    private final String size;
    private final Machine machine;
    private final Map<String, Object> setup = new LinkedHashMap<>();
    private final Map<String, Series> series = new LinkedHashMap<>();

    /** A series: its unit, how it was obtained, its points and the fit. */
    private record Series(String unit, Basis basis, List<Point> points, Line.Fit fit) { }

    /** How a value was obtained. */
    public enum Basis {
        /** Measured on a real machine: time, processor or sockets. */
        MEASURED,
        /** Production code run in virtual time: counts are exact for the seeds used. */
        SIMULATED,
        /** Calculated from other values. */
        RECKONED
    }

    /**
     * Creates a report without series.
     *
     * @param study the study's name, as in its command
     * @param command the arguments that repeat the measurement
     * @param size the unit of the sizes, such as {@code members}
     */
    public SlopeReport(String study, String command, String size) {
        this.study = study;
        this.command = command;
        this.size = size;
        machine = Machine.current();
    }

    /** Records a parameter of the measurement: a number, a text or a list of numbers. */
    public SlopeReport with(String name, Object value) {
        setup.put(name, value);
        return this;
    }

    /**
     * Adds a series. Names consist of lower-case letters, digits, dots and hyphens. Throws
     * {@link IllegalArgumentException} for another or a duplicate name, or if no line fits the points.
     */
    public SlopeReport add(String name, String unit, Basis basis, List<Point> points) {
        if (!name.matches("[a-z0-9.-]+") || series.containsKey(name)) {
            throw new IllegalArgumentException("invalid or duplicate series name: " + name);
        }
        series.put(name, new Series(unit, basis, List.copyOf(points), Line.fit(points)));
        return this;
    }

    /** Returns the fit of a series. */
    public Line.Fit fit(String name) {
        return series.get(name).fit();
    }

    /** Returns the report as JSON. */
    public ObjectNode json() {
        ObjectNode root = JSON.createObjectNode().put("study", study).put("command", command)
                .put("size", size);
        ObjectNode machineNode = root.putObject("machine").put("processor", machine.processor())
                .put("cores", machine.cores()).put("memory_mb", machine.memoryMb())
                .put("system", machine.system()).put("java", machine.java()).put("load", machine.load());
        machineNode.set("flags", JSON.valueToTree(machine.flags()));
        root.set("setup", JSON.valueToTree(setup));
        ObjectNode all = root.putObject("series");
        series.forEach((name, entry) -> write(entry, all.putObject(name)));
        return root;
    }

    private void write(Series entry, ObjectNode to) {
        to.put("unit", entry.unit()).put("basis", entry.basis().name().toLowerCase(Locale.ROOT));
        ObjectNode points = to.putObject("points");
        for (Point point : entry.points()) {
            ObjectNode at = points.putObject(plain(point.size())).put("median", point.median())
                    .put("least", point.min()).put("most", point.max());
            ArrayNode values = at.putArray("values");
            point.values().forEach(values::add);
        }
        write(entry.fit().whole(), entry.unit(), to.putObject("fit"));
        to.put("straight", entry.fit().isStraight());
        if (!entry.fit().isStraight()) {
            to.put("cut_straight", entry.fit().isCutStraight());
            ArrayNode pieces = to.putArray("pieces");
            entry.fit().pieces().forEach(piece -> write(piece, entry.unit(), pieces.addObject()));
        }
    }

    private void write(Line line, String unit, ObjectNode to) {
        to.put("slope", line.slope()).put("slope_unit", unit + " per " + size)
                .put("intercept", line.intercept()).put("residual", line.residual())
                .put("worst", line.worst()).put("from", line.from()).put("to", line.to())
                .put("sizes", line.sizes());
    }

    private static String plain(double size) {
        return size == Math.rint(size) ? Long.toString((long) size) : Double.toString(size);
    }

    /** Writes the report as a JSON file. */
    public void writeJson(Path file) throws IOException {
        Files.writeString(file, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json()) + "\n");
    }

    /** Writes a PNG plot of all series over the size: medians as marks, fits as lines. */
    public void writePlot(Path file) throws IOException {
        XYChart chart = new XYChartBuilder().width(WIDTH).height(HEIGHT).title(study).xAxisTitle(size)
                .yAxisTitle(String.join(", ", series.values().stream().map(Series::unit).distinct().toList()))
                .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setXAxisMin(0.0);
        series.forEach((name, entry) -> {
            chart.addSeries(name, entry.points().stream().map(Point::size).toList(),
                    entry.points().stream().map(Point::median).toList()).setLineStyle(
                            org.knowm.xchart.style.lines.SeriesLines.NONE);
            int number = 0;
            for (Line piece : entry.fit().pieces()) {
                chart.addSeries(name + (number == 0 ? ", fit" : ", fit " + number),
                        List.of(piece.from(), piece.to()), List.of(piece.at(piece.from()),
                                piece.at(piece.to()))).setMarker(SeriesMarkers.NONE).setShowInLegend(false);
                number++;
            }
        });
        Files.write(file, BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }

    /** Returns the report as a text table. */
    public String text() {
        List<String> lines = new ArrayList<>();
        series.forEach((name, entry) -> {
            lines.add(String.format(Locale.ROOT, "%s, %s (%s)", name, entry.unit(),
                    entry.basis().name().toLowerCase(Locale.ROOT)));
            entry.points().forEach(point -> lines.add(String.format(Locale.ROOT,
                    "  %10s %-8s %12.6g  (%.6g to %.6g, %d runs)", plain(point.size()), size, point.median(),
                    point.min(), point.max(), point.values().size())));
            for (Line piece : entry.fit().pieces()) {
                lines.add(String.format(Locale.ROOT, "  %s from %s to %s: %.4g + %.4g each; residual %.3g,"
                        + " worst %.1f%%", entry.fit().isStraight() ? "line" : "not straight; piece",
                        plain(piece.from()), plain(piece.to()), piece.intercept(), piece.slope(),
                        piece.residual(), 100 * piece.worst()));
            }
        });
        return String.join("\n", lines) + "\n";
    }
}
