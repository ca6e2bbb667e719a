package cranedeal.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.command.Program;
import cranedeal.lab.link.AddressBlock;
import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the configuration of a fleet through an operator's commands. Three coordinators and five balancers
 * run as processes of the program; some are killed while changes are published.
 */
class ConfigProcessTest {

    private static final JsonMapper JSON = new JsonMapper();
    private static final int COORDINATORS = 3;
    private static final int BALANCERS = 5;

    @TempDir
    Path folder;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, ChildProcess> processes = new LinkedHashMap<>();
    private ProcessSupervisor supervisor;
    private AddressBlock addresses;
    private ObjectNode balancerConfig;
    private String output;

    @BeforeEach
    void start() throws Exception {
        supervisor = new ProcessSupervisor();
        addresses = AddressBlock.reserve();
        for (int i = 0; i < COORDINATORS; i++) {
            startCoordinator(i);
        }
        for (int i = 0; i < BALANCERS; i++) {
            startBalancer(i);
        }
    }

    @AfterEach
    void end() throws Exception {
        supervisor.close();
        addresses.close();
    }

    private String ip(int party) {
        return addresses.ip(party).getHostAddress();
    }

    private String coordinator(int number) {
        return ip(1 + number) + ":" + AddressBlock.MEMBER_PORT;
    }

    private String balancer(int number) {
        return ip(11 + number) + ":" + AddressBlock.MEMBER_PORT;
    }

    private List<String> coordinators() {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < COORDINATORS; i++) {
            all.add(coordinator(i));
        }
        return all;
    }

    private void launch(String name, Map<String, String> environment, String... arguments) throws Exception {
        List<String> command = new ArrayList<>(new LabCommand.ProgramUnderTest().command());
        command.addAll(List.of(arguments));
        processes.put(name, supervisor.start(name, command, environment, folder.resolve(name + ".log")));
    }

    private void startCoordinator(int number) throws Exception {
        ObjectNode config = JSON.createObjectNode().put("fleet", "clinics").put("name", "c" + number)
                .put("listen", coordinator(number)).put("zone", "z" + number % 2)
                .put("state_dir", folder.resolve("c" + number).toString()).put("probe_period_ms", 500);
        coordinators().forEach(config.putArray("peers")::add);
        Path file = folder.resolve("c" + number + ".json");
        Files.writeString(file, config.toString());
        launch("c" + number, Map.of(), "coordinator", "--config", file.toString());
    }

    private void startBalancer(int number) throws Exception {
        Path toml = folder.resolve("config.toml");
        Files.writeString(toml, Files.readString(Path.of("lab/experiments/members.toml"))
                .replaceAll("(?s)\\[\\[fault]].*\\[must]", "[must]").replace("balancers = 30", "balancers = "
                + BALANCERS));
        Experiment experiment = ExperimentReader.read(toml);
        ObjectNode known = JSON.createObjectNode().put("version", 1).put("full", true);
        known.putArray("servers");
        // Nothing listens at the discovery address, so the balancer uses its initial list.
        balancerConfig = BalancerConfig.of(experiment, number, addresses.listenAddress(11 + number),
                addresses.listenAddress(99), number + 1,
                known, List.of());
        ObjectNode fleet = balancerConfig.putObject("fleet").put("name", "clinics").put("listen",
                balancer(number))
                .put("service", "front").put("probe_period_ms", 500)
                .put("state_dir", folder.resolve("n" + number).toString());
        coordinators().forEach(fleet.putArray("seeds")::add);
        Path file = folder.resolve("n" + number + ".json");
        Files.writeString(file, balancerConfig.toString());
        launch("n" + number, Map.of("PROXY_CONFIG", file.toString(), "PROXY_ADMIN_ADDR", adminAddress(number),
                "TMPDIR", Files.createDirectories(folder.resolve("tmp" + number)).toString()), "serve");
    }

    private String adminAddress(int number) {
        return ip(11 + number) + ":" + AddressBlock.ADMIN_PORT;
    }

    private void kill(String name) {
        processes.get(name).kill();
        processes.get(name).onExit().join();
    }

    private int runCommand(String... arguments) {
        PrintStream before = System.out;
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        try {
            return Program.run(Map.of(), arguments);
        } finally {
            System.setOut(before);
            output = out.toString(StandardCharsets.UTF_8);
        }
    }

    private JsonNode status(String at) throws IOException {
        runCommand("fleet", "config", "status", "--to", at, "--json");
        return JSON.readTree(output.isEmpty() ? "{}" : output);
    }

    /** A document that renames the first service class. */
    private Path document(String name) throws IOException {
        ObjectNode document = JSON.createObjectNode().put("form", 1);
        ObjectNode settings = document.putObject("services").putObject("front").putObject("settings");
        ArrayNode classes = (ArrayNode) balancerConfig.at("/settings/services").deepCopy();
        ((ObjectNode) classes.get(0)).put("name", name);
        settings.set("services", classes);
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, document.toString());
        return file;
    }

    private int publish(Path file, String... more) {
        List<String> arguments = new ArrayList<>(List.of("fleet", "config", "publish", file.toString(),
                "--to", String.join(",", coordinators())));
        arguments.addAll(List.of(more));
        return runCommand(arguments.toArray(String[]::new));
    }

    private void awaitInForce(String name, int... but) throws Exception {
        Processes.awaitCondition(() -> {
            for (int i = 0; i < BALANCERS; i++) {
                int one = i;
                boolean left = java.util.Arrays.stream(but).anyMatch(other -> other == one);
                if (!left && !hasClass(i, name)) {
                    return false;
                }
            }
            return true;
        });
    }

    private boolean hasClass(int balancer, String name) throws InterruptedException {
        try {
            return http.send(HttpRequest.newBuilder(
                    URI.create("http://" + adminAddress(balancer) + "/ops/stats"))
                    .timeout(Duration.ofSeconds(20)).build(), HttpResponse.BodyHandlers.ofString()).body()
                    .contains("success." + name + "=");
        } catch (IOException e) {
            // The balancer is not running.
            return false;
        }
    }

    private boolean serves(int balancer) throws IOException, InterruptedException {
        return http.send(HttpRequest.newBuilder(URI.create("http:/" + addresses.listenAddress(11 + balancer)
                + "/_health")).timeout(Duration.ofSeconds(20)).build(),
                HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    }

    private void awaitAllSeen() throws Exception {
        Processes.awaitCondition(() -> {
            JsonNode status = status(coordinator(0));
            return status.path("members").size() == BALANCERS
                    && status.path("coordinators").size() == COORDINATORS
                    && status.path("not_reached").isEmpty();
        });
    }

    @Test
    void operatorSeesChangesRefusalsAndRollbacks() throws Exception {
        awaitAllSeen();
        assertEquals(1, publish(document("a")), "there is no leader yet");
        assertEquals(1, runCommand("fleet", "config", "status", "--to", coordinator(1)));
        assertTrue(output.contains("no coordinator leads") && output.contains("nothing was published"),
                output);
        assertEquals(0, runCommand("fleet", "config", "take-over", "--to", coordinator(0)));
        // A publication to any coordinator reaches the leader.
        assertEquals(0, runCommand("fleet", "config", "publish", document("a").toString(), "--to",
                coordinator(2)));
        awaitInForce("a");
        Processes.awaitCondition(() -> runCommand("fleet", "config", "status", "--to", balancer(3)) == 0);
        assertTrue(output.contains("the newest version is 1.1, in force on 5 of 5 members"), output);

        Path bad = folder.resolve("bad.json");
        Files.writeString(bad, "{\"form\":1,\n\"services\":{\"front\":{\"listen\":\"127.0.0.1:1\"}}}");
        assertEquals(2, publish(bad));
        assertEquals(2, publish(folder.resolve("none.json")));
        assertEquals(2, runCommand("fleet", "config", "publish", bad.toString(), "--to", "nowhere"));
        assertEquals(2, runCommand("fleet", "config", "take-over", "--to", String.join(",", coordinators())));
        assertEquals(1, runCommand("fleet", "config", "rollback", "7", "--to", coordinator(0)));

        // A well-formed document that each balancer refuses.
        Files.writeString(bad, Files.readString(document("b")).replace("\"settings\":{",
                "\"settings\":{\"limits\":{\"attemptsCap\":0},"));
        assertEquals(0, publish(bad));
        Processes.awaitCondition(() -> status(coordinator(0)).path("refused").size() == BALANCERS);
        JsonNode refused = JSON.readTree(output).path("refused").path(0);
        assertEquals("settings.limits.attemptsCap", refused.path("key").asText(), output);
        assertEquals("1.1", refused.path("in_force").asText());
        assertEquals("1.2", refused.path("version").asText());
        assertEquals(1, runCommand("fleet", "config", "status", "--to", coordinator(0)));
        assertTrue(output.contains("n0 refuses 1.2, and goes by 1.1: settings.limits.attemptsCap"), output);
        assertTrue(hasClass(0, "a") && !hasClass(0, "b"));

        // A restarted balancer uses the last version that it accepted.
        kill("n1");
        startBalancer(1);
        awaitInForce("a");
        assertEquals(0, runCommand("fleet", "config", "rollback", "1", "--to", coordinator(0)));
        Processes.awaitCondition(() -> runCommand("fleet", "config", "status", "--to", coordinator(0)) == 0);
        assertTrue(output.contains("the newest version is 1.3") && output.contains("rollback to 1"), output);
    }

    @Test
    void coordinatorFailuresLoseNoAcknowledgedChange() throws Exception {
        awaitAllSeen();
        assertEquals(0, runCommand("fleet", "config", "take-over", "--to", coordinator(0)));
        assertEquals(0, publish(document("a")));
        awaitInForce("a");

        // The leader is killed while it takes a change; the author may or may not have got an answer.
        Path b = document("b");
        List<String> command = new ArrayList<>(new LabCommand.ProgramUnderTest().command());
        command.addAll(List.of("fleet", "config", "publish", b.toString(), "--to", coordinator(0),
                "--operation", "b"));
        ChildProcess author = supervisor.start("author", command, Map.of(), folder.resolve("author.log"));
        CompletableFuture<Integer> answered = author.onExit();
        Processes.awaitCondition(() -> answered.isDone() || keepsOperation(0, "b"));
        kill("c0");
        answered.join();
        assertEquals(0, runCommand("fleet", "config", "take-over", "--to", coordinator(1)));
        assertEquals(0, publish(b, "--operation", "b"), "the operation may be repeated");
        awaitInForce("b");
        JsonNode status = status(coordinator(1));
        assertEquals(2, status.path("epoch").asInt());
        long times = 0;
        for (JsonNode one : status.path("coordinators")) {
            for (JsonNode version : one.path("versions")) {
                times += one.path("leads").asBoolean() && version.path("operation").asText().equals("b")
                        && !version.path("note").asText().startsWith("carried over") ? 1 : 0;
            }
        }
        assertEquals(1, times, output);

        // The old leader returns as a follower and forwards requests to the new leader.
        startCoordinator(0);
        Processes.awaitCondition(() -> status(coordinator(0)).path("coordinators_answering").asInt() == 3
                && status(coordinator(0)).path("epoch").asInt() == 2);
        Processes.awaitCondition(() -> runCommand("fleet", "config", "publish", document("c").toString(),
                "--to", coordinator(0), "--operation", "c") == 0);
        awaitInForce("c");

        // Without coordinators all balancers serve on, and a restarted one uses the last good version.
        for (int i = 0; i < COORDINATORS; i++) {
            kill("c" + i);
        }
        assertEquals(1, publish(document("d")));
        kill("n2");
        startBalancer(2);
        awaitInForce("c");
        for (int i = 0; i < BALANCERS; i++) {
            assertTrue(serves(i));
        }
        assertEquals(1, runCommand("fleet", "config", "status", "--to", balancer(0)));
        assertTrue(output.contains("no coordinator answers: all serve on"), output);
        Processes.awaitCondition(() -> status(balancer(0)).path("in_force").asInt() == BALANCERS);

        // The coordinators return with their state, and the last leader leads again.
        for (int i = 0; i < COORDINATORS; i++) {
            startCoordinator(i);
        }
        Processes.awaitCondition(() -> publish(document("d"), "--operation", "d") == 0);
        awaitInForce("d");
        processes.get("c2").terminate();
        processes.get("c2").onExit().join();
        Processes.awaitCondition(
                () -> status(coordinator(1)).path("coordinators").size() == COORDINATORS - 1);
        assertFalse(status(coordinator(1)).path("leader").asText().isEmpty(),
                "a regular leave keeps the leader");
    }

    /** Returns true if a coordinator's journal holds a version of an operation. */
    private boolean keepsOperation(int coordinator, String operation) throws IOException {
        try (var files = Files.list(folder.resolve("c" + coordinator + "/config"))) {
            for (Path file : files.toList()) {
                if (Files.readString(file, StandardCharsets.ISO_8859_1).contains("\"operation\":\""
                        + operation + "\"")) {
                    return true;
                }
            }
        }
        return false;
    }
}
