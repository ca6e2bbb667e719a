package cranedeal.node;

import cranedeal.LatencyWeightedBalancer;
import cranedeal.LoadBalancer;
import cranedeal.LoadBalancer.Change;
import cranedeal.lab.slope.ChainSettings;
import cranedeal.lab.slope.SlopeReport;
import cranedeal.node.discovery.UpstreamList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Measures the CPU time and allocated memory of parsing lists of upstreams and applying them in the module,
 * by their length. This is not a test; run it by name, on an idle machine, with production JVM flags as
 * {@code argLine}.
 */
class ListBenchmark {

    static final String COMMAND = "mvn -B test -Dtest=ListBenchmark -DargLine='-XX:+UseSerialGC"
            + " -XX:TieredStopAtLevel=1 -Xmx64m'";
    static final int[] SIZES = {25, 100, 260, 520};
    static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f");
    static final List<String> KINDS = List.of("front-mid", "front-large");
    private static final double NOW = 1e6;

    /** An id as in production: eight arbitrary hexadecimal digits. */
    static String id(int number) {
        return "s-%08x".formatted(number * 2_654_435_761L & 0xffffffffL);
    }

    /** An entry in discovery's format. */
    static String entry(int number, String state, long startedMs) {
        return ("{\"id\":\"%s\",\"addr\":\"127.1.%d.%d:8081\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,"
                + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}").formatted(id(number), number / 250,
                1 + number % 250, ZONES.get(number % ZONES.size()), KINDS.get(number % KINDS.size()),
                number / 2, state, startedMs);
    }

    /** A whole list. */
    static String list(int size) {
        return NodeFixture.listJson(41, true, IntStream.range(0, size).mapToObj(i -> entry(i, "up", 0))
                .toArray(String[]::new));
    }

    static UpstreamList parse(byte[] text) throws IOException {
        return UpstreamList.parse(NodeConfig.JSON.readTree(text), ZONES, KINDS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static List<LoadBalancer.Upstream> upstreams(UpstreamList list) {
        return list.members().stream().map(UpstreamList.Member::upstream).toList();
    }

    /** Creates a module that has a list of the given length. */
    static LoadBalancer module(LoadBalancer.Settings settings, int size) throws IOException {
        LoadBalancer balancer = new LatencyWeightedBalancer(new NoActions());
        balancer.start(NOW, settings, size);
        balancer.upstreamsChanged(NOW, Change.CACHED, upstreams(parse(bytes(list(size)))));
        return balancer;
    }

    @Test
    void measure() throws Exception {
        SlopeReport report = new SlopeReport("list", COMMAND, "upstream");
        Map<Integer, ThreadCost.Code> parseAll = new LinkedHashMap<>();
        Map<Integer, ThreadCost.Code> takeAll = new LinkedHashMap<>();
        Map<Integer, ThreadCost.Code> takeOne = new LinkedHashMap<>();
        Map<Integer, ThreadCost.Code> parseChanges = new LinkedHashMap<>();
        for (int size : SIZES) {
            byte[] whole = bytes(list(size));
            UpstreamList list = parse(whole);
            LoadBalancer balancer = module(ChainSettings.of(0, 1, 0, 1), size);
            LoadBalancer other = module(ChainSettings.of(0, 1, 0, 1), size);
            byte[] changed = bytes(NodeFixture.listJson(42, false, entry(1, "draining", 0)));
            byte[] back = bytes(NodeFixture.listJson(43, false, entry(1, "up", 0)));
            boolean[] drains = {false};
            parseAll.put(size, () -> parse(whole));
            takeAll.put(size, () -> {
                balancer.upstreamsChanged(NOW, Change.FULL, upstreams(list));
                return balancer;
            });
            parseChanges.put(size, () -> parse(changed));
            takeOne.put(size, () -> {
                drains[0] = !drains[0];
                other.upstreamsChanged(NOW, Change.DELTA, upstreams(parse(drains[0] ? changed : back)));
                return other;
            });
        }
        ThreadCost.measure(report, "parse-whole-list", parseAll);
        ThreadCost.measure(report, "take-whole-list", takeAll);
        ThreadCost.measure(report, "parse-one-change", parseChanges);
        ThreadCost.measure(report, "parse-and-take-one-change", takeOne);
        write(report, "list");
    }

    /**
     * Prints a report, and writes it to the folder named by system property {@code slopes} if that is set.
     */
    static void write(SlopeReport report, String name) throws IOException {
        System.out.print(report.text());
        String folder = System.getProperty("slopes");
        if (folder != null) {
            report.writeJson(Path.of(folder, name + ".json"));
        }
    }

    /** A host of a module that gets no requests. */
    private static final class NoActions implements LoadBalancer.Actions {

        @Override
        public void send(long requestId, long upstream, double timeout) {
            throw new IllegalStateException("no request came");
        }

        @Override
        public void refuse(long requestId, double retryAfter) {
            throw new IllegalStateException("no request came");
        }

        @Override
        public void fail(long requestId) {
            throw new IllegalStateException("no request came");
        }

        @Override
        public void cancel(long requestId, int attempt) {
            throw new IllegalStateException("no request came");
        }

        @Override
        public void probe(long upstream) {
            // Probes are not simulated.
        }

        @Override
        public void closeIdle(long upstream) {
            // There are no connections.
        }

        @Override
        public void fetch() {
            // The benchmark passes lists in by itself.
        }

        @Override
        public void watch(boolean on) {
            // The benchmark passes lists in by itself.
        }

        @Override
        public void setTimer(long token, double at) {
            // No time passes.
        }

        @Override
        public void sendToPeer(int peer, byte[] payload) {
            // There are no peers.
        }

        @Override
        public void log(String text) {
            // Log lines are ignored.
        }
    }
}
