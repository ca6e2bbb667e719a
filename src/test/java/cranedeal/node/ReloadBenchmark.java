package cranedeal.node;

import cranedeal.LoadBalancer;
import cranedeal.lab.slope.SlopeReport;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Measures the cost of reading a new configuration, and of applying it in the module, by the length of the
 * list in it and by the number of service classes. This is not a test; run it by name, on an idle machine,
 * with production JVM flags as {@code argLine}.
 */
class ReloadBenchmark {

    private static final String COMMAND = "mvn -B test -Dtest=ReloadBenchmark -DargLine='-XX:+UseSerialGC"
            + " -XX:TieredStopAtLevel=1 -Xmx64m'";
    private static final int[] CLASSES = {4, 16, 64, 256};
    private static final int FEW_UPSTREAMS = 25;
    private static final int FEW_CLASSES = 4;

    @TempDir
    private Path folder;

    /** Writes a configuration with the given number of upstreams and classes. */
    private Path file(NodeFixture fixture, int upstreams, int classes) throws Exception {
        String text = fixture.config();
        int from = text.indexOf("\"services\":[");
        int to = text.indexOf("\"limits\":{\"attemptsCap\"");
        String services = IntStream.range(0, classes).mapToObj(i -> """
                {"name":"class-%d","aim":1000.0,"deadline":2500.0,"worth":1.0,"lateValue":0.5,
                 "idempotency":"idempotent","streamed":false}""".formatted(i))
                .collect(Collectors.joining(",\n"));
        text = text.substring(0, from) + "\"services\":[" + services + "],\n" + text.substring(to);
        text = text.replace(NodeFixture.listJson(41, true), ListBenchmark.list(upstreams))
                .replace("[\"dakar-a\"]", names(ListBenchmark.ZONES))
                .replace("[\"front-mid\"]", names(ListBenchmark.KINDS));
        Path file = folder.resolve("config-" + upstreams + "-" + classes + ".json");
        Files.writeString(file, text);
        NodeConfig read = NodeConfig.read(file.toString());
        if (read.knownUpstreams().members().size() != upstreams || read.classes().size() != classes) {
            throw new AssertionError("unexpected configuration: " + read);
        }
        return file;
    }

    private static String names(List<String> names) {
        return names.stream().collect(Collectors.joining("\",\"", "[\"", "\"]"));
    }

    @Test
    void measure() throws Exception {
        Map<Integer, ThreadCost.Code> readByUpstreams = new LinkedHashMap<>();
        Map<Integer, ThreadCost.Code> takeByUpstreams = new LinkedHashMap<>();
        Map<Integer, ThreadCost.Code> readByClasses = new LinkedHashMap<>();
        Map<Integer, ThreadCost.Code> takeByClasses = new LinkedHashMap<>();
        try (NodeFixture fixture = new NodeFixture(0)) {
            for (int size : ListBenchmark.SIZES) {
                add(file(fixture, size, FEW_CLASSES), size, size, readByUpstreams, takeByUpstreams);
            }
            for (int classes : CLASSES) {
                add(file(fixture, FEW_UPSTREAMS, classes), FEW_UPSTREAMS, classes, readByClasses,
                        takeByClasses);
            }
        }
        SlopeReport byUpstreams = new SlopeReport("reload", COMMAND, "upstream")
                .with("classes", FEW_CLASSES);
        ThreadCost.measure(byUpstreams, "read", readByUpstreams);
        ThreadCost.measure(byUpstreams, "take", takeByUpstreams);
        ListBenchmark.write(byUpstreams, "reload");
        SlopeReport byClasses = new SlopeReport("reload-classes", COMMAND, "class")
                .with("upstreams", FEW_UPSTREAMS);
        ThreadCost.measure(byClasses, "read", readByClasses);
        ThreadCost.measure(byClasses, "take", takeByClasses);
        ListBenchmark.write(byClasses, "reload-classes");
    }

    private static void add(Path file, int upstreams, int size, Map<Integer, ThreadCost.Code> read,
            Map<Integer, ThreadCost.Code> take) throws Exception {
        NodeConfig inForce = NodeConfig.read(file.toString());
        LoadBalancer balancer = ListBenchmark.module(inForce.settings(), upstreams);
        read.put(size, () -> NodeConfig.read(file.toString(), inForce, null));
        take.put(size, () -> {
            balancer.settingsChanged(1e6, inForce.settings());
            return balancer;
        });
    }
}
