package cranedeal.fleet.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.config.ConfigCalls;
import cranedeal.fleet.config.Coordinator;
import cranedeal.fleet.config.VersionId;
import cranedeal.fleet.membership.FleetMember;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Asks each process of a fleet for its configuration version and shows them. */
@Command(name = "status", mixinStandardHelpOptions = true,
        description = "Shows which process uses which version, by asking each member that --to sees;"
                + " --to may name any members. Exit code 0: all use the newest version, and a coordinator"
                + " leads; 1: otherwise; 2: wrong arguments, nothing was asked.")
final class ConfigStatusCommand implements Callable<Integer> {

    private static final Duration PATIENCE = Duration.ofSeconds(3);
    private static final int AT_A_TIME = 32;

    @Spec
    private CommandSpec spec;
    @Mixin
    private ConfigCommand.To to;

    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(ConfigCommand.CONNECT).build();
    private final Semaphore room = new Semaphore(AT_A_TIME);

    @Override
    public Integer call() throws CommandException {
        JsonNode view = null;
        for (String address : to.addresses()) {
            JsonNode its = view == null ? ask(address, FleetMember.VIEW_PATH).join() : null;
            view = its == null ? view : its;
        }
        if (view == null || !view.has("members")) {
            throw new CommandException(1, "no member answers at " + String.join(", ", to.addresses()));
        }
        Map<String, CompletableFuture<JsonNode>> asked = new LinkedHashMap<>();
        Map<String, JsonNode> members = new LinkedHashMap<>();
        for (JsonNode member : view.path("members")) {
            String state = member.path("state").asText();
            if (!state.equals("left")) {
                String name = member.path("name").asText();
                members.put(name, member);
                asked.put(name, state.equals("faulty") ? CompletableFuture.completedFuture(null)
                        : ask(member.path("address").asText(), ConfigCalls.STATUS));
            }
        }
        Map<String, JsonNode> answers = new LinkedHashMap<>();
        asked.forEach((name, answer) -> answers.put(name, answer.join()));
        ObjectNode status = status(members, answers);
        PrintWriter out = spec.commandLine().getOut();
        if (to.json()) {
            out.println(status);
        } else {
            show(status, out);
        }
        out.flush();
        return status.path("whole").asBoolean() ? 0 : 1;
    }

    /** The answer in JSON; null if there is none, and an empty object for a status other than 200. */
    private CompletableFuture<JsonNode> ask(String address, String path) {
        room.acquireUninterruptibly();
        return http.sendAsync(HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(PATIENCE)
                .build(), HttpResponse.BodyHandlers.ofByteArray()).handle((response, failure) -> {
                    room.release();
                    try {
                        return failure != null ? null : response.statusCode() != 200
                                ? ConfigCommand.JSON.createObjectNode()
                                : ConfigCommand.JSON.readTree(response.body());
                    } catch (IOException e) {
                        return null;
                    }
                });
    }

    private static VersionId id(JsonNode of, String key) {
        return of.hasNonNull(key) ? VersionId.parse(of.path(key).asText()) : VersionId.NONE;
    }

    /** Summarises the versions of all members; those that did not answer have a null answer. */
    private static ObjectNode status(Map<String, JsonNode> members, Map<String, JsonNode> answers) {
        VersionId newest = VersionId.NONE;
        for (JsonNode answer : answers.values()) {
            for (String key : new String[] {"committed", "held"}) {
                if (answer != null && id(answer, key).compareTo(newest) > 0) {
                    newest = id(answer, key);
                }
            }
        }
        ObjectNode status = ConfigCommand.JSON.createObjectNode().put("newest", newest.toString());
        ArrayNode coordinators = ConfigCommand.JSON.createArrayNode();
        ArrayNode all = ConfigCommand.JSON.createArrayNode();
        ArrayNode behind = ConfigCommand.JSON.createArrayNode();
        ArrayNode refused = ConfigCommand.JSON.createArrayNode();
        ArrayNode silent = ConfigCommand.JSON.createArrayNode();
        ArrayNode without = ConfigCommand.JSON.createArrayNode();
        String leader = "";
        long epoch = 0;
        int answering = 0;
        int inForce = 0;
        for (Map.Entry<String, JsonNode> one : answers.entrySet()) {
            JsonNode answer = one.getValue();
            JsonNode member = members.get(one.getKey());
            boolean coordinates = member.path("role").asText().equals(Coordinator.ROLE);
            ObjectNode line = (coordinates ? coordinators : all).addObject().put("name", one.getKey())
                    .put("address", member.path("address").asText());
            if (answer == null) {
                line.put("state", "not reached");
                silent.add(one.getKey());
            } else if (!answer.has("role")) {
                line.put("state", "goes by its own file");
                without.add(one.getKey());
            } else if (coordinates) {
                answering++;
                line.setAll((ObjectNode) answer);
                if (answer.path("leads").asBoolean() && answer.path("epoch").asLong() > epoch) {
                    leader = one.getKey();
                    epoch = answer.path("epoch").asLong();
                }
            } else {
                line.setAll((ObjectNode) answer);
                if (answer.has("refused")) {
                    refused.addObject().put("name", one.getKey())
                            .put("in_force", answer.path("in_force").asText())
                            .setAll((ObjectNode) answer.path("refused"));
                } else if (id(answer, "in_force").equals(newest)) {
                    inForce++;
                } else {
                    behind.add(one.getKey());
                }
            }
        }
        status.put("leader", leader).put("epoch", epoch).put("in_force", inForce)
                .put("coordinators_answering", answering);
        status.set("behind", behind);
        status.set("refused", refused);
        status.set("not_reached", silent);
        status.set("own_file", without);
        status.set("coordinators", coordinators);
        status.set("members", all);
        return status.put("whole", behind.isEmpty() && refused.isEmpty() && silent.isEmpty()
                && !leader.isEmpty());
    }

    private static void show(ObjectNode status, PrintWriter out) {
        String newest = status.path("newest").asText();
        if (status.path("coordinators_answering").asInt() == 0) {
            out.println("no coordinator answers: all serve on with the configuration they have, and nothing"
                    + " can be published");
        } else if (status.path("leader").asText().isEmpty()) {
            out.println("no coordinator leads, so nothing can be published; see fleet config take-over");
        } else {
            out.println(status.path("leader").asText() + " leads with epoch "
                    + status.path("epoch").asText());
        }
        out.println(newest.equals(VersionId.NONE.toString()) ? "nothing was published"
                : "the newest version is " + newest + ", in force on " + status.path("in_force").asInt()
                + " of " + status.path("members").size() + " members");
        for (JsonNode one : status.path("coordinators")) {
            out.println(String.format(Locale.ROOT, "  coordinator %-20s %-22s %s", one.path("name").asText(),
                    one.path("address").asText(), one.has("state") ? one.path("state").asText()
                    : "has " + one.path("committed").asText() + ", epoch " + one.path("epoch").asText()
                    + (one.path("leads").asBoolean() ? ", leads" : "")));
        }
        for (JsonNode one : status.path("coordinators")) {
            if (one.path("name").asText().equals(status.path("leader").asText())) {
                for (JsonNode version : one.path("versions")) {
                    out.println(String.format(Locale.ROOT, "  version %-8s %s by %s, %d bytes%s%s",
                            version.path("version").asText(), java.time.Instant.ofEpochMilli(
                            version.path("time_ms").asLong()), version.path("author").asText(),
                            version.path("bytes").asLong(), version.path("note").asText().isEmpty() ? ""
                            : ", " + version.path("note").asText(), version.path("committed").asBoolean() ? ""
                            : ", not on a majority's disks"));
                }
            }
        }
        for (JsonNode one : status.path("refused")) {
            out.println("  " + one.path("name").asText() + " refuses " + one.path("version").asText()
                    + ", and goes by " + one.path("in_force").asText() + ": "
                    + (one.path("key").asText().isEmpty() ? "" : one.path("key").asText() + ": ")
                    + one.path("reason").asText());
        }
        for (JsonNode one : status.path("members")) {
            if (!one.has("refused") && !one.path("in_force").asText().equals(newest)) {
                out.println("  " + one.path("name").asText() + (one.has("state") ? " " + (one.path("state")
                        .asText().startsWith("not") ? "is " : "") + one.path("state").asText()
                        : " still goes by " + one.path("in_force").asText()));
            }
        }
    }
}
