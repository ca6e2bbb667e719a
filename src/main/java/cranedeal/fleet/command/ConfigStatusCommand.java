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

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_CONCURRENT_REQUESTS = 32;

    @Spec
    private CommandSpec spec;
    @Mixin
    private ConfigCommand.CoordinatorOptions coordinatorOptions;

    private final FleetClient client = new FleetClient(REQUEST_TIMEOUT);
    private final Semaphore requestPermits = new Semaphore(MAX_CONCURRENT_REQUESTS);

    @Override
    public Integer call() throws CommandException {
        JsonNode view = null;
        for (String address : coordinatorOptions.addresses()) {
            JsonNode answer = view == null ? get(address, FleetMember.VIEW_PATH).join() : null;
            view = answer == null ? view : answer;
        }
        if (view == null || !view.has("members")) {
            throw new CommandException(1, "no member answers at "
                    + String.join(", ", coordinatorOptions.addresses()));
        }
        Map<String, CompletableFuture<JsonNode>> pending = new LinkedHashMap<>();
        Map<String, JsonNode> members = new LinkedHashMap<>();
        for (JsonNode member : view.path("members")) {
            String state = member.path("state").asText();
            if (!state.equals("left")) {
                String name = member.path("name").asText();
                members.put(name, member);
                pending.put(name, state.equals("faulty") ? CompletableFuture.completedFuture(null)
                        : get(member.path("address").asText(), ConfigCalls.STATUS));
            }
        }
        Map<String, JsonNode> answers = new LinkedHashMap<>();
        pending.forEach((name, answer) -> answers.put(name, answer.join()));
        ObjectNode status = summarize(members, answers);
        PrintWriter out = spec.commandLine().getOut();
        if (coordinatorOptions.json()) {
            out.println(status);
        } else {
            print(status, out);
        }
        out.flush();
        return status.path("whole").asBoolean() ? 0 : 1;
    }

    /** The answer in JSON; null if there is none, and an empty object for a status other than 200. */
    private CompletableFuture<JsonNode> get(String address, String path) {
        requestPermits.acquireUninterruptibly();
        return client.get(address, path).handle((response, failure) -> {
            requestPermits.release();
            try {
                return failure != null ? null : response.statusCode() != 200
                        ? ConfigCommand.JSON.createObjectNode()
                        : ConfigCommand.JSON.readTree(response.body());
            } catch (IOException e) {
                return null;
            }
        });
    }

    private static VersionId versionId(JsonNode json, String key) {
        return json.hasNonNull(key) ? VersionId.parse(json.path(key).asText()) : VersionId.NONE;
    }

    /** Summarises the versions of all members; those that did not answer have a null answer. */
    private static ObjectNode summarize(Map<String, JsonNode> members, Map<String, JsonNode> answers) {
        VersionId newest = VersionId.NONE;
        for (JsonNode answer : answers.values()) {
            for (String key : new String[] {"committed", "held"}) {
                if (answer != null && versionId(answer, key).compareTo(newest) > 0) {
                    newest = versionId(answer, key);
                }
            }
        }
        ObjectNode status = ConfigCommand.JSON.createObjectNode().put("newest", newest.toString());
        ArrayNode coordinators = ConfigCommand.JSON.createArrayNode();
        ArrayNode others = ConfigCommand.JSON.createArrayNode();
        ArrayNode outdated = ConfigCommand.JSON.createArrayNode();
        ArrayNode refused = ConfigCommand.JSON.createArrayNode();
        ArrayNode unreachable = ConfigCommand.JSON.createArrayNode();
        ArrayNode usingOwnFile = ConfigCommand.JSON.createArrayNode();
        String leader = "";
        long epoch = 0;
        int answering = 0;
        int inForce = 0;
        for (Map.Entry<String, JsonNode> entry : answers.entrySet()) {
            JsonNode answer = entry.getValue();
            JsonNode member = members.get(entry.getKey());
            boolean isCoordinator = member.path("role").asText().equals(Coordinator.ROLE);
            ObjectNode entryJson = (isCoordinator ? coordinators : others).addObject().put("name",
                    entry.getKey())
                    .put("address", member.path("address").asText());
            if (answer == null) {
                entryJson.put("state", "not reached");
                unreachable.add(entry.getKey());
            } else if (!answer.has("role")) {
                entryJson.put("state", "goes by its own file");
                usingOwnFile.add(entry.getKey());
            } else if (isCoordinator) {
                answering++;
                entryJson.setAll((ObjectNode) answer);
                if (answer.path("leads").asBoolean() && answer.path("epoch").asLong() > epoch) {
                    leader = entry.getKey();
                    epoch = answer.path("epoch").asLong();
                }
            } else {
                entryJson.setAll((ObjectNode) answer);
                if (answer.has("refused")) {
                    refused.addObject().put("name", entry.getKey())
                            .put("in_force", answer.path("in_force").asText())
                            .setAll((ObjectNode) answer.path("refused"));
                } else if (versionId(answer, "in_force").equals(newest)) {
                    inForce++;
                } else {
                    outdated.add(entry.getKey());
                }
            }
        }
        status.put("leader", leader).put("epoch", epoch).put("in_force", inForce)
                .put("coordinators_answering", answering);
        status.set("behind", outdated);
        status.set("refused", refused);
        status.set("not_reached", unreachable);
        status.set("own_file", usingOwnFile);
        status.set("coordinators", coordinators);
        status.set("members", others);
        return status.put("whole", outdated.isEmpty() && refused.isEmpty() && unreachable.isEmpty()
                && !leader.isEmpty());
    }

    private static void print(ObjectNode status, PrintWriter out) {
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
        for (JsonNode coordinator : status.path("coordinators")) {
            out.println(String.format(Locale.ROOT, "  coordinator %-20s %-22s %s",
                    coordinator.path("name").asText(), coordinator.path("address").asText(),
                    coordinator.has("state") ? coordinator.path("state").asText()
                    : "has " + coordinator.path("committed").asText() + ", epoch "
                    + coordinator.path("epoch").asText()
                    + (coordinator.path("leads").asBoolean() ? ", leads" : "")));
        }
        for (JsonNode coordinator : status.path("coordinators")) {
            if (coordinator.path("name").asText().equals(status.path("leader").asText())) {
                for (JsonNode version : coordinator.path("versions")) {
                    out.println(String.format(Locale.ROOT, "  version %-8s %s by %s, %d bytes%s%s",
                            version.path("version").asText(), java.time.Instant.ofEpochMilli(
                            version.path("time_ms").asLong()), version.path("author").asText(),
                            version.path("bytes").asLong(), version.path("note").asText().isEmpty() ? ""
                            : ", " + version.path("note").asText(), version.path("committed").asBoolean() ? ""
                            : ", not on a majority's disks"));
                }
            }
        }
        for (JsonNode refusal : status.path("refused")) {
            out.println("  " + refusal.path("name").asText() + " refuses " + refusal.path("version").asText()
                    + ", and goes by " + refusal.path("in_force").asText() + ": "
                    + (refusal.path("key").asText().isEmpty() ? "" : refusal.path("key").asText() + ": ")
                    + refusal.path("reason").asText());
        }
        for (JsonNode member : status.path("members")) {
            if (!member.has("refused") && !member.path("in_force").asText().equals(newest)) {
                out.println("  " + member.path("name").asText() + (member.has("state") ? " "
                        + (member.path("state").asText().startsWith("not") ? "is " : "")
                        + member.path("state").asText()
                        : " still goes by " + member.path("in_force").asText()));
            }
        }
    }
}
