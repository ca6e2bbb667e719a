package cranedeal.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.history.Event;
import cranedeal.lab.history.Event.End;
import cranedeal.lab.history.Event.Life;
import cranedeal.lab.history.OneAnswer;
import cranedeal.lab.report.Summary.Verdict;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the summary, the comparison and the report that are computed from a history. */
class AnalysisTest {

    private static final Analysis.Bounds NONE = new Analysis.Bounds(0, Double.POSITIVE_INFINITY,
            Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY);
    private static final double LOAD = 1_000;

    /** Ten seconds of 100 requests each. Those due from 4 to 6 s fail; n1 gets none from 4 to 7 s. */
    private static List<Event> history() {
        List<Event> events = new ArrayList<>();
        events.add(new Event.Sent(900, "w", 9_999, "n0", "c", 900, 2_000));
        events.add(new Event.LoadChanged(LOAD, true));
        events.add(new Event.Answered(1_001, "w", 9_999, "n0", End.SERVED, 200));
        events.add(new Event.Ended(1_001, 9_999, "c", End.SERVED, 1, 101));
        for (int i = 0; i < 1_000; i++) {
            double due = LOAD + i * 10;
            boolean down = i >= 400 && i < 600;
            String balancer = i % 2 == 0 || i >= 400 && i < 700 ? "n0" : "n1";
            if (i == 400) {
                events.add(new Event.Faulted(due, 0, "kill n1", List.of("n1"), true));
                events.add(new Event.ProcessChanged(due, "n1", Life.KILLED, 0));
            }
            if (i == 500) {
                events.add(new Event.ProcessChanged(due, "n1", Life.STARTED, 0));
                events.add(new Event.ProcessChanged(due + 5, "n1", Life.READY, 0));
                events.add(new Event.Faulted(due + 5, 0, "kill n1", List.of("n1"), false));
            }
            events.add(new Event.Sent(due, "t" + i, i, balancer, "c", due, due + 1_000));
            events.add(new Event.Arrived(due + 1, "t" + i, balancer, "u0", "c", due, 1, true, i % 100 == 99));
            End end = down ? End.FAILED : i % 100 == 7 ? End.REFUSED : End.SERVED;
            events.add(new Event.Answered(due + 4, "t" + i, i, balancer, end, 200));
            events.add(new Event.Ended(due + 4, i, "c", end, 1, 4));
        }
        events.add(new Event.ProcessUsage(LOAD + 500, "n1", 100, 2_000));
        return events;
    }

    private static Summary summary(List<Event> events, Analysis.Bounds must, List<String> voids) {
        Analysis analysis = new Analysis(Map.of("c", 1_000.0), List.of(new OneAnswer()));
        events.forEach(analysis);
        return analysis.finish("e", 0.5, voids, must, 2);
    }

    @Test
    void summaryMatchesTheHistory() {
        Summary summary = summary(history(), NONE, List.of());
        assertEquals(Verdict.HELD, summary.verdict());
        assertEquals(1_000, summary.requests(), "the warm-up does not count");
        assertEquals(0.792, summary.served(), 1e-9);
        assertEquals(0.008, summary.refused(), 1e-9);
        assertEquals(0.2, summary.failed(), 1e-9);
        assertEquals(4, summary.p99Ms(), 0.01);
        assertEquals(0.99, summary.before(), 1e-9);
        assertEquals(10, summary.seconds().size());
        assertEquals(0, summary.seconds().get(4).served());
        Summary.Recovery fault = summary.faults().get(0);
        assertEquals(4_000, fault.beginMs(), 1e-9);
        // The fault ended at 5,005 ms; all requests due from 6,000 ms on are served.
        assertEquals(995, fault.recoveryMs(), 1e-9);
        Summary.Return back = summary.returns().get(0);
        assertEquals(5, back.readyMs(), 1e-9);
        assertEquals(2_014, back.firstServedMs(), 10.1);
        assertEquals(2_000, back.fullShareMs(), 1e-9);
        assertEquals(5 - 2, back.metAgain(), "those due at 7,990 ms, 8,990 ms and 9,990 ms");
    }

    @Test
    void brokenBoundsAndVoidRunsGetTheirVerdicts() {
        assertEquals(Verdict.BROKEN, summary(history(), new Analysis.Bounds(0.8, 1e9, 1e9, 1e9), List.of())
                .verdict());
        assertEquals(Verdict.BROKEN, summary(history(), new Analysis.Bounds(0, 3, 1e9, 1e9),
                List.of()).verdict());
        assertEquals(Verdict.BROKEN, summary(history(), new Analysis.Bounds(0, 1e9, 900, 1e9), List.of())
                .verdict());
        assertEquals(Verdict.BROKEN, summary(history(), new Analysis.Bounds(0, 1e9, 1e9, 1.1), List.of())
                .verdict());
        assertEquals(Verdict.HELD, summary(history(), new Analysis.Bounds(0.7, 5, 1_000, 1.3), List.of())
                .verdict());
        Summary shown = summary(history(), new Analysis.Bounds(0.8, 1e9, 1e9, 1e9), List.of("it was late"));
        assertEquals(Verdict.VOID, shown.verdict());
        assertEquals("it was late", shown.complaints().get(0));
    }

    @Test
    void comparisonTellsDifferencesFromNoise() {
        List<Summary> first = runs(0, 0);
        String same = Comparison.text(first, runs(0, 3));
        assertTrue(same.lines().anyMatch(line -> line.startsWith("p50") && line.contains("within the noise")),
                same);
        String worse = Comparison.text(first, runs(10, 3));
        assertTrue(worse.lines().anyMatch(line -> line.startsWith("p50") && line.contains("differs")), worse);
        assertTrue(worse.lines().anyMatch(line -> line.startsWith("served") && line.contains("the same")),
                worse);
        assertThrows(IllegalArgumentException.class, () -> Comparison.text(first, first.subList(0, 3)));
    }

    /** Eight runs with a given additional latency and noise, both in milliseconds. */
    private static List<Summary> runs(double slower, double noise) {
        List<Summary> runs = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            double latency = 4 + slower + noise * (i % 2 == 0 ? 1 : -1) * (1 + i / 10.0) / 2;
            runs.add(summary(history().stream().map(event -> event instanceof Event.Ended ended
                    ? new Event.Ended(ended.at() + latency - ended.latency(), ended.request(),
                            ended.serviceClass(), ended.end(), ended.tries(), latency) : event).toList(),
                            NONE,
                    List.of()));
        }
        return runs;
    }

    @Test
    void reportContainsFaultsComplaintsAndPlots(@TempDir Path folder) throws Exception {
        HtmlReport page = new HtmlReport();
        history().forEach(page);
        Path file = folder.resolve("report.html");
        page.write(summary(history(), NONE, List.of("a <b> & c")), file);
        String html = Files.readString(file);
        assertTrue(html.contains("kill n1") && html.contains("a &lt;b&gt; &amp; c"));
        assertTrue(html.split("data:image/png;base64,iVBOR").length - 1 >= 3, "at least three plots");
    }
}
