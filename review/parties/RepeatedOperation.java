package parties;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Three coordinators. A change is published while two of them are paused, so that its outcome is unknown. They
 * go on, some other changes follow, and then the first one is repeated with its operation's id, as the command
 * said. It has to be there once at most.
 */
final class RepeatedOperation {

    private static final int OTHER_CHANGES = 5;
    private static final int SERVICES = 8;
    /** Of a section, in bytes; with eight of them a document has 1.8 MB. */
    private static final int SECTION = 230_000;
    private static final Pattern RETRY = Pattern.compile("--operation (\\S+)");
    private static final Pattern NEWEST = Pattern.compile("\"newest\":\"([0-9.]+)\"");
    private static final Pattern AUTHOR = Pattern.compile(
            "\"version\":\"([0-9.]+)\"[^{}]*?\"author\":\"([^\"]*)\"");

    private final Rig rig;

    private RepeatedOperation(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.play(args[0], rig -> new RepeatedOperation(rig).run());
    }

    private int run() throws Exception {
        Fleet fleet = new Fleet(rig);
        List<Process> coordinators = fleet.coordinators;
        String listen = "127.0.3.1:" + Rig.freePort("127.0.3.1");
        Server discovery = Site.discovery("127.0.2.1", List.of());
        rig.startBalancer("n0", listen, discovery.address(), fleet.member("n0", Site.config("n0", 0, 1, listen,
                discovery.address(), List.of())));
        rig.awaitReady(listen);
        if (!fleet.lead()) {
            return Rig.NOT_RUN;
        }
        if (publish(fleet, 0, "first").code() != 0) {
            return Rig.NOT_RUN;
        }
        if (rig.trouble) {
            Rig.signal(coordinators.get(1), "STOP");
            Rig.signal(coordinators.get(2), "STOP");
            rig.record("c1 and c2 are paused");
        }
        Fleet.Output change = publish(fleet, 1, "reception");
        Matcher named = RETRY.matcher(change.text());
        boolean unknown = change.code() == 1 && named.find();
        if (rig.trouble) {
            Rig.signal(coordinators.get(1), "CONT");
            Rig.signal(coordinators.get(2), "CONT");
            rig.record("c1 and c2 go on");
        }
        if (unknown != rig.trouble) {
            rig.say("the change was " + (unknown ? "" : "not ") + "of unknown outcome");
            return Rig.NOT_RUN;
        }
        String before = inForceOf("reception", fleet);
        if (before == null) {
            rig.say("the change did not get there by itself, so there is nothing to repeat");
            return Rig.NOT_RUN;
        }
        for (int i = 0; i < OTHER_CHANGES; i++) {
            if (publish(fleet, 2 + i, "others").code() != 0) {
                return Rig.NOT_RUN;
            }
        }
        String last = newest(fleet);
        rig.say("the change of reception is version " + before + "; after " + OTHER_CHANGES
                + " changes of others the newest is " + last);
        if (unknown) {
            Fleet.Output again = publish(fleet, 1, "reception", "--operation", named.group(1));
            rig.record("the repeated command: exit code " + again.code());
        }
        Thread.sleep(3_000);
        String after = newest(fleet);
        boolean twice = !after.equals(last);
        rig.say("after the repeat the newest is " + after + (twice ? ": the operation was done twice" : ""));
        rig.record("status: " + fleet.command("status", "--json", "--to", fleet.all()).text().strip());
        return twice ? Rig.BROKEN : Rig.HELD;
    }

    /** Publishes a document in which all sections but one small key are alike. */
    private Fleet.Output publish(Fleet fleet, int change, String author, String... more) throws Exception {
        StringBuilder document = new StringBuilder("{\"form\":1,\"services\":{\"front\":{\"settings\":{\"limits\":"
                + "{\"attemptsCap\":" + (2 + change) + "}}}");
        for (int i = 0; i < SERVICES; i++) {
            document.append(",\"service-").append(i).append("\":{\"settings\":{\"table\":\"")
                    .append("x".repeat(SECTION)).append(i).append("\"}}");
        }
        Path file = rig.temporary.resolve("document-" + change + ".json");
        Files.writeString(file, document.append("}}"));
        List<String> command = new ArrayList<>(List.of("publish", file.toString(), "--author", author, "--to",
                fleet.all()));
        command.addAll(List.of(more));
        return fleet.command(command.toArray(new String[0]));
    }

    private String newest(Fleet fleet) throws Exception {
        Matcher found = NEWEST.matcher(fleet.command("status", "--json", "--to", fleet.all()).text());
        return found.find() ? found.group(1) : "";
    }

    /** Waits until all go by the newest version, and returns it if it is of this author; else null. */
    private String inForceOf(String author, Fleet fleet) throws Exception {
        String status = fleet.awaitInForce();
        Matcher found = NEWEST.matcher(status == null ? "" : status);
        if (found.find()) {
            Matcher version = AUTHOR.matcher(status);
            while (version.find()) {
                if (version.group(1).equals(found.group(1)) && version.group(2).equals(author)) {
                    rig.record("version " + found.group(1) + " of " + author + " is in force on all");
                    return found.group(1);
                }
            }
        }
        return null;
    }
}
