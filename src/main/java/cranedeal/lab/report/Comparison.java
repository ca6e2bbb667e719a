package cranedeal.lab.report;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;
import org.apache.commons.statistics.inference.WilcoxonSignedRankTest;

/**
 * Compares two sets of runs of one experiment, paired in their order. Wilcoxon's signed-rank test over the
 * pairs decides if a difference is significant; it needs at least six pairs that differ.
 */
public final class Comparison {

    private static final int MIN_PAIRS = 6;
    private static final double SIGNIFICANCE_LEVEL = 0.05;
    private static final JsonMapper JSON = new JsonMapper();
    private static final Map<String, ToDoubleFunction<Summary>> FIGURES = figures();

    private Comparison() {
    }

    private static Map<String, ToDoubleFunction<Summary>> figures() {
        Map<String, ToDoubleFunction<Summary>> figures = new LinkedHashMap<>();
        figures.put("served", Summary::served);
        figures.put("refused", Summary::refused);
        figures.put("failed", Summary::failed);
        figures.put("p50 ms", Summary::p50Ms);
        figures.put("p99 ms", Summary::p99Ms);
        figures.put("attempts each", Summary::attempts);
        figures.put("longest recovery ms", of -> of.faults().stream()
                .mapToDouble(Summary.Recovery::recoveryMs).max().orElse(0));
        figures.put("start to ready ms", of -> of.returns().stream()
                .mapToDouble(Summary.Return::readyMs).average().orElse(0));
        figures.put("start to full share ms", of -> of.returns().stream()
                .mapToDouble(Summary.Return::fullShareMs).average().orElse(0));
        figures.put("500s met again", of -> of.returns().stream()
                .mapToDouble(Summary.Return::metAgain).sum());
        figures.put("CPU of all processes ms", of -> of.processes().values().stream()
                .mapToDouble(Summary.Usage::cpuMs).sum());
        figures.put("largest process MB", of -> of.processes().values().stream()
                .mapToDouble(use -> use.mostRssKb() / 1_024.0).max().orElse(0));
        return figures;
    }

    /** Reads the summaries of the runs below a folder, by run number; throws {@link IOException} if none. */
    public static List<Summary> read(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + ": no such folder");
        }
        List<Path> files;
        try (Stream<Path> all = Files.find(folder, 2, (path, attributes) -> path.endsWith("summary.json"))) {
            files = all.sorted((one, other) -> {
                String first = one.getParent().getFileName().toString();
                String second = other.getParent().getFileName().toString();
                // Numeric order: 2 before 10.
                return first.length() == second.length() ? first.compareTo(second)
                        : Integer.compare(first.length(), second.length());
            }).toList();
        }
        if (files.isEmpty()) {
            throw new IOException(folder + " holds no run");
        }
        List<Summary> runs = new ArrayList<>();
        for (Path file : files) {
            runs.add(JSON.readValue(file.toFile(), Summary.class));
        }
        return runs;
    }

    /** Formats the comparison; throws {@link IllegalArgumentException} if the runs cannot be paired. */
    public static String text(List<Summary> first, List<Summary> second) {
        if (first.size() != second.size()) {
            throw new IllegalArgumentException("there are " + first.size() + " runs and " + second.size()
                    + "; runs are paired");
        }
        String name = first.get(0).experiment();
        Stream.concat(first.stream(), second.stream()).forEach(run -> {
            if (!run.experiment().equals(name)) {
                throw new IllegalArgumentException(name + " and " + run.experiment()
                        + " are two experiments");
            }
            if (run.verdict() == Summary.Verdict.VOID) {
                throw new IllegalArgumentException("a run of " + name + " is void: "
                        + run.complaints());
            }
        });
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT,
                "%s, %d pairs%n%-24s %12s %12s %12s%n", name, first.size(), "medians", "first", "second",
                "difference"));
        FIGURES.forEach((figure, of) -> text.append(row(figure, first.stream().mapToDouble(of).toArray(),
                second.stream().mapToDouble(of).toArray())));
        return text.toString();
    }

    private static String row(String figure, double[] first, double[] second) {
        double[] differences = new double[first.length];
        for (int i = 0; i < first.length; i++) {
            differences[i] = second[i] - first[i];
        }
        return String.format(Locale.ROOT, "%-24s %12.4g %12.4g %12.4g  %s%n", figure, median(first),
                median(second), median(differences), significance(differences));
    }

    private static String significance(double[] differences) {
        double[] nonZero = Arrays.stream(differences).filter(value -> value != 0).toArray();
        if (Arrays.stream(differences).anyMatch(Double::isNaN)) {
            return "not known in every run";
        }
        if (nonZero.length == 0) {
            return "the same";
        }
        if (nonZero.length < MIN_PAIRS) {
            return "too few pairs that differ to tell from noise";
        }
        double p = WilcoxonSignedRankTest.withDefaults().test(nonZero).getPValue();
        return String.format(Locale.ROOT, "%s (p = %.3f)", p < SIGNIFICANCE_LEVEL
                ? "differs" : "within the noise", p);
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
