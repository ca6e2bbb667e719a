package cranedeal.lab.slope;

import cranedeal.fleet.command.CommandException;
import cranedeal.fleet.membership.Member;
import cranedeal.fleet.membership.Message;
import cranedeal.fleet.membership.MemberUpdate;
import cranedeal.fleet.membership.Settings;
import cranedeal.lab.slope.SlopeReport.Basis;
import cranedeal.lab.swarm.Network;
import cranedeal.lab.swarm.Swarm;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Simulates a member's membership traffic by fleet size and datagram loss, in virtual time. */
@Command(name = "membership", mixinStandardHelpOptions = true,
        description = "Bytes and datagrams that a member sends, by size and loss, in virtual time.")
final class MembershipStudy extends Study {

    private static final double MS_PER_S = 1_000;
    private static final double MS_PER_HOUR = 3_600 * MS_PER_S;
    /** Time for the members' probes to spread over their period. */
    private static final double SETTLING_MS = 5 * MS_PER_S;
    private static final double PERCENT = 100;

    @Option(names = "--members", split = ",", defaultValue = "64,128,256,520,1040", paramLabel = "N",
            description = "The sizes; default ${DEFAULT-VALUE}.")
    private List<Integer> members;
    @Option(names = "--loss", split = ",", defaultValue = "0,0.05,0.1,0.3", paramLabel = "SHARE",
            description = "Shares of lost datagrams; default ${DEFAULT-VALUE}.")
    private List<Double> losses;
    @Option(names = "--seconds", defaultValue = "30", description = "How long each run lasts.")
    private int seconds;
    @Option(names = "--repeat", defaultValue = "3", paramLabel = "N",
            description = "Runs of each size, with seeds 1 to N.")
    private int repeat;

    /** The results of one run per member; {@code wronged} is per member-hour. */
    private record Results(double bytes, double datagrams, double peak, double syncs, double wronged) { }

    @Override
    protected SlopeReport measure() throws CommandException {
        if (members.stream().anyMatch(size -> size < 2) || members.size() < Line.MIN_SIZES || seconds < 1
                || repeat < 1 || losses.stream().anyMatch(loss -> !(loss >= 0 && loss < 1))) {
            throw usageError("at least four sizes of 2 or more, losses from 0 to below 1, and times and"
                    + " repeats of 1 or more are needed");
        }
        SlopeReport report = report("member").with("seconds", seconds).with("settling_s",
                        SETTLING_MS / MS_PER_S)
                .with("period_ms", Settings.DEFAULTS.periodMs()).with("delay_ms", Network.GOOD.delayMs())
                .with("jitter_ms", Network.GOOD.jitterMs())
                .with("not_in_it", "UDP and IP headers, full exchanges, processor time");
        for (double loss : losses) {
            Map<Integer, List<Results>> runs = new LinkedHashMap<>();
            for (int size : members) {
                for (int seed = 1; seed <= repeat; seed++) {
                    runs.computeIfAbsent(size, absent -> new ArrayList<>()).add(run(size, loss, seed));
                }
            }
            String name = String.format(Locale.ROOT, "-loss-%.0f", PERCENT * loss);
            add(report, "bytes" + name, "bytes/s", runs, Results::bytes);
            add(report, "peak-second" + name, "bytes/s", runs, Results::peak);
            add(report, "datagrams" + name, "datagrams/s", runs, Results::datagrams);
            add(report, "exchanges" + name, "exchanges/min", runs, Results::syncs);
            add(report, "wrong-calls" + name, "calls/member-hour", runs, Results::wronged);
        }
        report.add("exchange-bytes", "bytes", Basis.RECKONED, members.stream()
                .map(size -> Point.of(size, exchangeBytes(size))).toList());
        return report;
    }

    private static void add(SlopeReport report, String name, String unit, Map<Integer, List<Results>> runs,
            java.util.function.ToDoubleFunction<Results> what) {
        report.add(name, unit, Basis.SIMULATED, runs.entrySet().stream()
                .map(entry -> new Point(entry.getKey(), entry.getValue().stream().map(what::applyAsDouble)
                        .toList())).toList());
    }

    private Results run(int size, double loss, long seed) {
        Swarm swarm = new Swarm(Settings.DEFAULTS, Network.GOOD.losing(loss), seed);
        swarm.populate(size);
        swarm.run(SETTLING_MS);
        swarm.countAll();
        long bytes = swarm.bytes();
        long datagrams = swarm.messages();
        long syncs = swarm.syncs();
        int wronged = swarm.falseDetectionsOfHealthy();
        long peak = 0;
        long[] before = new long[size];
        for (int second = 0; second < seconds; second++) {
            for (int i = 0; i < size; i++) {
                before[i] = swarm.bytes(i);
            }
            swarm.run(MS_PER_S);
            for (int i = 0; i < size; i++) {
                peak = Math.max(peak, swarm.bytes(i) - before[i]);
            }
        }
        double memberSeconds = (double) size * seconds;
        return new Results((swarm.bytes() - bytes) / memberSeconds,
                (swarm.messages() - datagrams) / memberSeconds, peak,
                60 * (swarm.syncs() - syncs) / memberSeconds,
                (swarm.falseDetectionsOfHealthy() - wronged) / (memberSeconds * MS_PER_S / MS_PER_HOUR));
    }

    /** Returns the size of the body that each side of a full exchange sends: the state of all members. */
    private static double exchangeBytes(int size) {
        Swarm swarm = new Swarm(Settings.DEFAULTS, Network.GOOD, 1);
        swarm.populate(size);
        List<Member> all = swarm.core(0).members();
        List<MemberUpdate> news = all.stream().map(member -> new MemberUpdate(member, "")).toList();
        return messageBytes(all.get(0), news) - messageBytes(all.get(0), List.of());
    }

    private static int messageBytes(Member from, List<MemberUpdate> news) {
        return new Message(Message.Kind.NEWS, 1, "", null, from, 0, news).encodedSize("slope");
    }
}
