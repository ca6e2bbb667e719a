package cranedeal.fleet.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.membership.FleetMember;
import java.io.IOException;
import java.io.PrintWriter;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows the members of a fleet as one member sees them, or compares the views of all. */
@Command(name = "members", mixinStandardHelpOptions = true,
        description = "Shows the members of a fleet as one of them sees them. Exit code 0: it answers, is not"
                + " isolated, and with --compare all agree; 1: otherwise; 2: wrong arguments.")
final class MembersCommand implements Callable<Integer> {

    private static final JsonMapper JSON = new JsonMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final double MS_PER_S = 1_000;

    @Spec
    private CommandSpec spec;
    @Parameters(paramLabel = "ADDRESS", description = "Where a member listens: its fleet.listen.")
    private String address;
    @Option(names = "--compare",
            description = "Ask each member that this one sees, and show differing views.")
    private boolean compare;
    @Option(names = "--json", description = "Answer in JSON.")
    private boolean json;

    private final FleetClient client = new FleetClient(REQUEST_TIMEOUT);

    @Override
    public Integer call() throws CommandException {
        CompletableFuture<JsonNode> answer;
        try {
            answer = get(address);
        } catch (IllegalArgumentException e) {
            throw new CommandException(Program.USAGE_ERROR, "'" + address
                    + "' is not an address with a port");
        }
        JsonNode view = answer.join();
        if (view == null) {
            throw new CommandException(1, "no member answers at " + address);
        }
        PrintWriter out = spec.commandLine().getOut();
        int code = compare ? compareViews(view, out) : printView(view, out);
        out.flush();
        return code;
    }

    /** A member's view; null if it does not answer. */
    private CompletableFuture<JsonNode> get(String memberAddress) {
        return client.get(memberAddress, FleetMember.VIEW_PATH).handle((response, failure) -> {
            try {
                return failure != null || response.statusCode() != 200 ? null
                        : JSON.readTree(response.body());
            } catch (IOException e) {
                return null;
            }
        });
    }

    private int printView(JsonNode view, PrintWriter out) {
        boolean isolated = view.path("isolated").asBoolean();
        if (json) {
            out.println(view);
        } else {
            out.println(view.path("name").asText() + " of " + view.path("fleet").asText() + " sees"
                    + (isolated ? ", isolated," : "") + " digest " + view.path("digest").asText());
            out.println(String.format(Locale.ROOT, "  %-20s %-22s %-8s %-12s %-8s %10s %s", "name", "address",
                    "role", "version", "state", "for s", "differs for s"));
            for (JsonNode member : view.path("members")) {
                out.println(String.format(Locale.ROOT, "  %-20s %-22s %-8s %-12s %-8s %10.1f %s",
                        member.path("name").asText(), member.path("address").asText(),
                        member.path("role").asText(), member.path("version").asText(),
                        member.path("state").asText(), member.path("since_ms").asLong() / MS_PER_S,
                        seconds(member.path("differs_ms").asLong())));
            }
        }
        return isolated ? 1 : 0;
    }

    private static String seconds(long ms) {
        return ms == 0 ? "" : String.format(Locale.ROOT, "%.1f", ms / MS_PER_S);
    }

    private int compareViews(JsonNode view, PrintWriter out) {
        Map<String, CompletableFuture<JsonNode>> pending = new LinkedHashMap<>();
        for (JsonNode member : view.path("members")) {
            if (isPresent(member)) {
                pending.put(member.path("name").asText(), get(member.path("address").asText()));
            }
        }
        Map<String, Map<String, String>> views = new LinkedHashMap<>();
        ObjectNode result = JSON.createObjectNode();
        ArrayNode unreachable = result.putArray("silent");
        ArrayNode isolated = result.putArray("isolated");
        pending.forEach((name, answer) -> {
            JsonNode memberView = answer.join();
            if (memberView == null) {
                unreachable.add(name);
            } else {
                views.put(name, presentMembers(memberView));
                if (memberView.path("isolated").asBoolean()) {
                    isolated.add(name);
                }
            }
        });
        ArrayNode differ = result.putArray("differ");
        Map<String, String> statesInView = presentMembers(view);
        views.forEach((name, states) -> {
            Map<String, String> all = new LinkedHashMap<>(statesInView);
            states.forEach(all::putIfAbsent);
            for (String memberName : all.keySet()) {
                String seenHere = statesInView.getOrDefault(memberName, "unknown");
                String seenThere = states.getOrDefault(memberName, "unknown");
                if (!seenHere.equals(seenThere)) {
                    differ.addObject().put("member", memberName).put("by", name).put("sees", seenThere)
                            .put("first_sees", seenHere).put("for_ms", differingForMs(view, name));
                }
            }
        });
        boolean agree = differ.isEmpty() && unreachable.isEmpty();
        result.put("asked", pending.size()).put("agree", agree);
        if (json) {
            out.println(result);
        } else {
            out.println(pending.size() + " members asked by the view of " + view.path("name").asText()
                    + (agree ? ": all agree" : ""));
            unreachable.forEach(name -> out.println("  " + name.asText() + " does not answer"));
            isolated.forEach(name -> out.println("  " + name.asText() + " is isolated"));
            differ.forEach(difference -> out.println("  " + difference.path("by").asText() + " sees "
                    + difference.path("member").asText() + " " + difference.path("sees").asText() + ", "
                    + view.path("name").asText() + " sees it " + difference.path("first_sees").asText()
                    + (difference.path("for_ms").asLong() > 0 ? "; they differ for "
                    + seconds(difference.path("for_ms").asLong()) + " s" : "")));
        }
        return agree && isolated.isEmpty() ? 0 : 1;
    }

    private static long differingForMs(JsonNode view, String name) {
        for (JsonNode member : view.path("members")) {
            if (member.path("name").asText().equals(name)) {
                return member.path("differs_ms").asLong();
            }
        }
        return 0;
    }

    private static boolean isPresent(JsonNode member) {
        String state = member.path("state").asText();
        return state.equals("alive") || state.equals("suspect");
    }

    /** The present members and the process of each. A member that has gone counts as unknown. */
    private static Map<String, String> presentMembers(JsonNode view) {
        Map<String, String> states = new LinkedHashMap<>();
        for (JsonNode member : view.path("members")) {
            if (isPresent(member)) {
                states.put(member.path("name").asText(), "present as " + member.path("instance").asText());
            }
        }
        return states;
    }
}
