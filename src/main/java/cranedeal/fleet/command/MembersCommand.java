package cranedeal.fleet.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
    private static final Duration PATIENCE = Duration.ofSeconds(3);
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

    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(PATIENCE).build();

    @Override
    public Integer call() throws CommandException {
        HttpRequest request;
        try {
            request = request(address);
        } catch (IllegalArgumentException e) {
            throw new CommandException(Program.USAGE_ERROR, "'" + address
                    + "' is not an address with a port");
        }
        JsonNode view = ask(request).join();
        if (view == null) {
            throw new CommandException(1, "no member answers at " + address);
        }
        PrintWriter out = spec.commandLine().getOut();
        int code = compare ? compare(view, out) : show(view, out);
        out.flush();
        return code;
    }

    private static HttpRequest request(String at) {
        URI members = URI.create("http://" + at + FleetMember.VIEW_PATH);
        return HttpRequest.newBuilder(members).timeout(PATIENCE).build();
    }

    /** A member's view; null if it does not answer. */
    private CompletableFuture<JsonNode> ask(HttpRequest request) {
        var answer = http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
        return answer.handle((response, failure) -> {
            try {
                return failure != null || response.statusCode() != 200 ? null
                        : JSON.readTree(response.body());
            } catch (IOException e) {
                return null;
            }
        });
    }

    private int show(JsonNode view, PrintWriter out) {
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

    private int compare(JsonNode view, PrintWriter out) {
        Map<String, CompletableFuture<JsonNode>> asked = new LinkedHashMap<>();
        for (JsonNode member : view.path("members")) {
            if (isPresent(member)) {
                asked.put(member.path("name").asText(), ask(request(member.path("address").asText())));
            }
        }
        Map<String, Map<String, String>> views = new LinkedHashMap<>();
        ObjectNode result = JSON.createObjectNode();
        ArrayNode silent = result.putArray("silent");
        ArrayNode isolated = result.putArray("isolated");
        asked.forEach((name, answer) -> {
            JsonNode its = answer.join();
            if (its == null) {
                silent.add(name);
            } else {
                views.put(name, states(its));
                if (its.path("isolated").asBoolean()) {
                    isolated.add(name);
                }
            }
        });
        ArrayNode differ = result.putArray("differ");
        Map<String, String> mine = states(view);
        views.forEach((name, states) -> {
            Map<String, String> all = new LinkedHashMap<>(mine);
            states.forEach(all::putIfAbsent);
            for (String of : all.keySet()) {
                String here = mine.getOrDefault(of, "unknown");
                String there = states.getOrDefault(of, "unknown");
                if (!here.equals(there)) {
                    differ.addObject().put("member", of).put("by", name).put("sees", there)
                            .put("first_sees", here).put("for_ms", since(view, name));
                }
            }
        });
        boolean agree = differ.isEmpty() && silent.isEmpty();
        result.put("asked", asked.size()).put("agree", agree);
        if (json) {
            out.println(result);
        } else {
            out.println(asked.size() + " members asked by the view of " + view.path("name").asText()
                    + (agree ? ": all agree" : ""));
            silent.forEach(name -> out.println("  " + name.asText() + " does not answer"));
            isolated.forEach(name -> out.println("  " + name.asText() + " is isolated"));
            differ.forEach(one -> out.println("  " + one.path("by").asText() + " sees "
                    + one.path("member").asText() + " " + one.path("sees").asText() + ", "
                    + view.path("name").asText() + " sees it " + one.path("first_sees").asText()
                    + (one.path("for_ms").asLong() > 0 ? "; they differ for "
                    + seconds(one.path("for_ms").asLong()) + " s" : "")));
        }
        return agree && isolated.isEmpty() ? 0 : 1;
    }

    private static long since(JsonNode view, String name) {
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
    private static Map<String, String> states(JsonNode view) {
        Map<String, String> states = new LinkedHashMap<>();
        for (JsonNode member : view.path("members")) {
            if (isPresent(member)) {
                states.put(member.path("name").asText(), "present as " + member.path("instance").asText());
            }
        }
        return states;
    }
}
