package cranedeal.lab.swarm;

import cranedeal.fleet.command.CommandException;
import cranedeal.fleet.command.Program;
import cranedeal.fleet.membership.Settings;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Simulates a fleet in virtual time and prints measurements. */
@Command(name = "swarm", mixinStandardHelpOptions = true,
        description = "Simulates the membership of a fleet of up to thousands of members in virtual time.")
public final class SwarmCommand implements Callable<Integer> {

    private static final int MAX_MEMBERS = 20_000;
    private static final double S = 1_000;
    private static final double HOUR = 3_600 * S;
    private static final double TIMEOUT = 300 * S;
    private static final double LOOK = 50;

    /** The scenario to run. */
    enum Play {
        /** No faults: measures false failure detections and network traffic. */
        CALM,
        /** Members are killed one after another. */
        KILLS,
        /** A third of the members is killed at once. */
        THIRD,
        /** The fleet is partitioned into two halves for a time, then healed. */
        HALVES,
        /** All members are killed and restarted with the members they knew and no seeds. */
        RESTART
    }

    @Spec
    private CommandSpec spec;
    @Option(names = "--play", paramLabel = "WHAT", defaultValue = "CALM",
            description = "${COMPLETION-CANDIDATES}; default ${DEFAULT-VALUE}.")
    private Play play;
    @Option(names = "--members", paramLabel = "N", defaultValue = "1000")
    private int members;
    @Option(names = "--seed", paramLabel = "S", defaultValue = "1")
    private long seed;
    @Option(names = "--loss", paramLabel = "SHARE", defaultValue = "0")
    private double loss;
    @Option(names = "--slow", paramLabel = "SHARE", defaultValue = "0",
            description = "The share of members that are stopped repeatedly.")
    private double slow;
    @Option(names = "--stopped-ms", defaultValue = "4000",
            description = "How long a slow member is stopped at a time.")
    private double stoppedMs;
    @Option(names = "--running-ms", defaultValue = "1000",
            description = "How long a slow member runs in between.")
    private double runningMs;
    @Option(names = "--period-ms", defaultValue = "1000", description = "The probe period.")
    private double periodMs;
    @Option(names = "--seconds", defaultValue = "60",
            description = "The duration of CALM and of the partition.")
    private double seconds;
    @Option(names = "--times", defaultValue = "20", description = "The number of KILLS.")
    private int times;
    @Option(names = "--plain", description = "Without Lifeguard's refinements.")
    private boolean plain;
    @Option(names = "--ignore-pauses", description = "Processes don't notice that they were stopped.")
    private boolean ignorePauses;

    @Override
    public Integer call() throws CommandException {
        if (members < 2 || members > MAX_MEMBERS || times < 1 || times >= members || !(seconds > 0)) {
            throw new CommandException(Program.USAGE_ERROR, "2 to " + MAX_MEMBERS
                    + " members, fewer kills than members, and a time above 0 are required");
        }
        Swarm swarm;
        try {
            swarm = new Swarm(new Settings(periodMs, Settings.DEFAULTS.forgetMs(), MAX_MEMBERS, !plain,
                    !ignorePauses),
                    Network.GOOD.losing(loss).slowing(slow, stoppedMs, runningMs), seed);
        } catch (IllegalArgumentException e) {
            throw new CommandException(Program.USAGE_ERROR, e.getMessage());
        }
        PrintWriter out = spec.commandLine().getOut();
        swarm.populate(members);
        swarm.run(5 * S);
        switch (play) {
            case CALM -> calm(swarm, out);
            case KILLS -> kills(swarm, out);
            case THIRD -> third(swarm, out);
            case HALVES -> halves(swarm, out);
            default -> restart(swarm, out);
        }
        out.flush();
        return 0;
    }

    private void calm(Swarm swarm, PrintWriter out) {
        long bytes = swarm.bytes();
        long messages = swarm.messages();
        long syncs = swarm.syncs();
        swarm.run(seconds * S);
        double memberHours = members * seconds * S / HOUR;
        line(out, "%d members, %.0f s: %d times a healthy member was called faulty (%.3f a member-hour), a"
                + " slow one %d times; a member sent %.0f bytes and %.2f datagrams a second, %.2f full"
                + " exchanges a minute", members, seconds, swarm.falseDetectionsOfHealthy(),
                swarm.falseDetectionsOfHealthy() / memberHours,
                swarm.falseDetections() - swarm.falseDetectionsOfHealthy(),
                (swarm.bytes() - bytes) / (members * seconds), (swarm.messages() - messages)
                / (members * seconds), (swarm.syncs() - syncs) / (members * seconds / 60));
    }

    private void kills(Swarm swarm, PrintWriter out) {
        List<Double> first = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        for (int i = 0; i < times; i++) {
            Swarm.Faulty death = swarm.kill(members - 1 - i);
            int left = members - 1 - i;
            swarm.runUntil(now -> death.knowing() == left, LOOK, TIMEOUT);
            first.add(death.firstMs());
            all.add(death.knowing() == left ? death.lastMs() : Double.POSITIVE_INFINITY);
        }
        line(out, "%d members, %d killed: first taken for dead after %s ms, by all after %s ms", members,
                times, spread(first), spread(all));
    }

    private void third(Swarm swarm, PrintWriter out) {
        List<Swarm.Faulty> deaths = new ArrayList<>();
        int dead = members / 3;
        for (int i = 0; i < dead; i++) {
            deaths.add(swarm.kill(members - 1 - i));
        }
        swarm.runUntil(Swarm::agrees, LOOK, TIMEOUT);
        List<Double> first = deaths.stream().map(Swarm.Faulty::firstMs).toList();
        List<Double> all = deaths.stream().map(Swarm.Faulty::lastMs).toList();
        line(out, "%d members, %d killed at once: first taken for dead after %s ms, by all after %s ms;"
                + " %d who live were called faulty", members, dead, spread(first), spread(all),
                swarm.falseDetections());
    }

    private void halves(Swarm swarm, PrintWriter out) {
        int half = members / 2;
        swarm.cut((from, to) -> from < half == to < half);
        swarm.run(seconds * S);
        int seen = swarm.core(0).presentCount();
        swarm.cut((from, to) -> true);
        long bytes = swarm.bytes();
        long syncs = swarm.syncs();
        double took = swarm.runUntil(Swarm::agrees, LOOK, TIMEOUT);
        line(out, "%d members, halves apart for %.0f s (a member saw %d), together again after %.0f ms, with"
                + " %.0f bytes in datagrams and %.1f full exchanges a member", members, seconds, seen, took,
                (swarm.bytes() - bytes) / (double) members, (swarm.syncs() - syncs) / (double) members);
    }

    private void restart(Swarm swarm, PrintWriter out) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            swarm.kill(i);
            all.add(i);
        }
        swarm.run(S);
        all.forEach(one -> swarm.start(one, List.of(), all, 2));
        double took = swarm.runUntil(Swarm::agrees, LOOK, TIMEOUT);
        line(out, "%d members, all killed and started with no seed: one view after %.0f ms", members, took);
    }

    private static String spread(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return String.format(Locale.ROOT, "%.0f (p50), %.0f (p90), %.0f (most)",
                sorted.get(sorted.size() / 2), sorted.get(sorted.size() * 9 / 10),
                sorted.get(sorted.size() - 1));
    }

    private static void line(PrintWriter out, String format, Object... values) {
        out.println(String.format(Locale.ROOT, format, values));
    }
}
