package cranedeal.fleet.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.config.ConfigCalls;
import cranedeal.fleet.config.ConfigDocument;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Changes the configuration of a fleet and shows which process uses which version. */
@Command(name = "config", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
        subcommands = ConfigStatusCommand.class,
        description = "Publishes the configuration of a fleet and shows which process uses which version.")
final class ConfigCommand implements Callable<Integer> {

    static final JsonMapper JSON = new JsonMapper();
    /** Longer than a coordinator waits for the other coordinators. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        return Program.missingSubcommand(spec);
    }

    /** The options that say which coordinators to ask. */
    static final class CoordinatorOptions {

        @Option(names = "--to", paramLabel = "ADDRESS", split = ",", required = true,
                description = "Where coordinators listen; the first one that answers names the leader.")
        private List<String> addresses;
        @Option(names = "--json", description = "Answer in JSON.")
        private boolean json;

        List<String> addresses() throws CommandException {
            for (String address : addresses) {
                requireAddress(address);
            }
            return addresses;
        }

        boolean json() {
            return json;
        }
    }

    /** The options that identify a change. */
    static final class OperationOptions {

        @Option(names = "--operation", paramLabel = "ID",
                description = "Identifies the change, so that it can be retried safely; random if not given.")
        private String id;
        @Option(names = "--author", paramLabel = "NAME",
                description = "The author of the change; the current user if not given.")
        private String author;

        String query() {
            id = id == null ? UUID.randomUUID().toString() : id;
            return "?operation=" + encoded(id) + "&author="
                    + encoded(author == null ? System.getProperty("user.name", "unknown") : author);
        }
    }

    static void requireAddress(String address) throws CommandException {
        if (!address.matches("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}")) {
            throw new CommandException(Program.USAGE_ERROR, "'" + address
                    + "' is not an address with a port");
        }
    }

    private static String encoded(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    @Command(name = "publish", mixinStandardHelpOptions = true,
            description = "Publishes a document as the newest version. Exit code 0: it is on the disks of a"
                    + " majority of the coordinators; 1: it is not, or that is unknown; 2: the document"
                    + " or an argument is invalid.")
    private int publish(@Parameters(paramLabel = "FILE", description = "The document, in JSON.") Path file,
            @Mixin CoordinatorOptions coordinators, @Mixin OperationOptions operation)
            throws CommandException {
        byte[] document;
        try {
            document = Files.readAllBytes(file);
            ConfigDocument.parse(document);
        } catch (IOException e) {
            throw new CommandException(Program.USAGE_ERROR, "cannot read " + file + ": " + e.getMessage());
        } catch (ConfigDocument.BadDocumentException e) {
            throw new CommandException(Program.USAGE_ERROR, file + ": " + e.getMessage());
        }
        return requestChange(coordinators, ConfigCalls.PUBLISH + operation.query(), document, operation.id);
    }

    @Command(name = "rollback", mixinStandardHelpOptions = true,
            description = "Publishes the document of an earlier version again, as the newest version. Exit"
                    + " codes as for publish.")
    private int rollback(@Parameters(paramLabel = "NUMBER",
            description = "The number of the earlier version.") long number,
            @Mixin CoordinatorOptions coordinators, @Mixin OperationOptions operation)
            throws CommandException {
        return requestChange(coordinators, ConfigCalls.ROLLBACK + operation.query() + "&number=" + number,
                new byte[0], operation.id);
    }

    @Command(name = "take-over", mixinStandardHelpOptions = true,
            description = "Makes one coordinator the leader, with a higher epoch: when a fleet is first"
                    + " started, or when the leader is lost. Exit code 0: it leads; 1: it does not.")
    private int takeOver(@Mixin CoordinatorOptions coordinators) throws CommandException {
        if (coordinators.addresses().size() > 1) {
            throw new CommandException(Program.USAGE_ERROR, "only one coordinator can lead, but --to names "
                    + coordinators.addresses().size());
        }
        Answer answer = post(coordinators.addresses().get(0), ConfigCalls.TAKE_OVER, new byte[0]);
        if (answer == null) {
            throw new CommandException(1, "no coordinator answers at " + coordinators.addresses().get(0));
        }
        boolean succeeded = answer.status() == 200;
        print(coordinators, answer, succeeded ? coordinators.addresses().get(0) + " leads with epoch "
                + answer.json().path("epoch").asText() : "the coordinator does not lead: " + answer.reason());
        return succeeded ? 0 : 1;
    }

    /** A coordinator's answer. */
    private record Answer(int status, JsonNode json, String text) {

        String reason() {
            return json.has("why") ? json.path("why").asText() : text.strip();
        }
    }

    private int requestChange(CoordinatorOptions coordinators, String uri, byte[] body, String operation)
            throws CommandException {
        Deque<String> remaining = new ArrayDeque<>(coordinators.addresses());
        Set<String> asked = new LinkedHashSet<>();
        Set<String> unreachable = new LinkedHashSet<>();
        Answer lastAnswer = null;
        while (!remaining.isEmpty()) {
            String address = remaining.poll();
            if (!asked.add(address)) {
                continue;
            }
            Answer answer = post(address, uri, body);
            if (answer == null) {
                unreachable.add(address);
                continue;
            }
            boolean settled = answer.status() != 409 && answer.status() != 503;
            // A coordinator that isn't sure may have lost the lead; the new leader knows the operation if it
            // got through.
            lastAnswer = settled || lastAnswer == null || lastAnswer.status() == 409 ? answer : lastAnswer;
            if (settled) {
                break;
            }
            String leader = answer.json().path("leader").asText("");
            if (!leader.isEmpty()) {
                remaining.addFirst(leader);
            }
        }
        String retryHint = "; it can be retried safely with --operation " + operation;
        if (lastAnswer == null) {
            throw new CommandException(1, "no coordinator answers at " + String.join(", ", asked)
                    + retryHint);
        }
        boolean succeeded = lastAnswer.status() == 200;
        boolean outcomeUnknown = lastAnswer.status() == 503 || lastAnswer.status() == 409;
        print(coordinators, lastAnswer, succeeded ? "version " + lastAnswer.json().path("version").asText()
                + " is on the disks of a majority of the coordinators"
                + (lastAnswer.reason().isEmpty() ? "" : " (" + lastAnswer.reason() + ")")
                : "the version was not published: " + lastAnswer.reason()
                + (unreachable.contains(lastAnswer.json().path("leader")
                .asText()) ? " and does not answer; see fleet config take-over" : "")
                + (outcomeUnknown ? retryHint : ""));
        return succeeded ? 0 : lastAnswer.status() == 400 ? Program.USAGE_ERROR : 1;
    }

    private void print(CoordinatorOptions coordinators, Answer answer, String line) throws CommandException {
        PrintWriter out = spec.commandLine().getOut();
        if (coordinators.json()) {
            ObjectNode json = answer.json() instanceof ObjectNode given ? given
                    : JSON.createObjectNode().put("result", "failed").put("why", answer.reason());
            out.println(json);
        } else if (answer.status() == 200) {
            out.println(line);
        } else {
            throw new CommandException(answer.status() == 400 ? Program.USAGE_ERROR : 1, line);
        }
        out.flush();
    }

    /** A coordinator's answer; null if there is none in time. */
    private static Answer post(String address, String uri, byte[] body) {
        try {
            HttpResponse<byte[]> response = new FleetClient(REQUEST_TIMEOUT).post(address, uri, body);
            String text = new String(response.body(), StandardCharsets.UTF_8);
            return new Answer(response.statusCode(), text.startsWith("{") ? JSON.readTree(text)
                    : JSON.createObjectNode(), text);
        } catch (IOException e) {
            return null;
        }
    }
}
