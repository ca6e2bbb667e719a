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

/** What a member sends to know who is present, by the size of the fleet and by loss, in virtual time. */
@Command(name = "membership", mixinStandardHelpOptions = true,
        description = "Bytes and datagrams that a member sends, by size and loss, in virtual time.")
final class MembershipStudy extends Study {

    private static final double S = 1_000;
    private static final double HOUR = 3_600 * S;
    /** Until the members' probes have spread over their period. */
    private static final double SETTLING = 5 * S;
    private static final double PERCENT = 100;

    @Option(names = "--members", split = ",", defaultValue = "64,128,256,520,1040", paramLabel = "N",
            description = "The sizes; default ${DEFAULT-VALUE}.")
    private List<Integer> members;
    @Option(names = "--loss", split = ",", defaultValue = "0,0.05,0.1,0.3", paramLabel = "SHARE",
            description = "Shares of datagrams that are lost; default ${DEFAULT-VALUE}.")
    private List<Double> losses;
    @Option(names = "--seconds", defaultValue = "30", description = "How long each run lasts.")
    private int seconds;
    @Option(names = "--repeat", defaultValue = "3", paramLabel = "N",
            description = "Runs of each, with seeds 1 to N.")
    private int repeat;

    /** What one run showed of a member, but for {@code wronged}: of a member-hour. */
    private record Seen(double bytes, double datagrams, double peak, double syncs, double wronged) { }

    @Override
    protected SlopeReport measure() throws CommandException {
        if (members.stream().anyMatch(one -> one < 2) || members.size() < Line.MIN_SIZES || seconds < 1
                || repeat < 1 || losses.stream().anyMatch(loss -> !(loss >= 0 && loss < 1))) {
            throw wrong("four sizes of 2 or more, losses from 0 to below 1, and times and repeats of 1 or"
                    + " more are wanted");
        }
        SlopeReport report = report("member").with("seconds", seconds).with("settling_s", SETTLING / S)
                .with("period_ms", Settings.DEFAULTS.periodMs()).with("delay_ms", Network.GOOD.delayMs())
                .with("jitter_ms", Network.GOOD.jitterMs())
                .with("not_in_it", "UDP and IP headers, full exchanges, processor time");
        for (double loss : losses) {
            Map<Integer, List<Seen>> runs = new LinkedHashMap<>();
            for (int size : members) {
                for (int seed = 1; seed <= repeat; seed++) {
                    runs.computeIfAbsent(size, absent -> new ArrayList<>()).add(play(size, loss, seed));
                }
            }
            String name = String.format(Locale.ROOT, "-loss-%.0f", PERCENT * loss);
            add(report, "bytes" + name, "bytes/s", runs, Seen::bytes);
            add(report, "peak-second" + name, "bytes/s", runs, Seen::peak);
            add(report, "datagrams" + name, "datagrams/s", runs, Seen::datagrams);
            add(report, "exchanges" + name, "exchanges/min", runs, Seen::syncs);
            add(report, "wrong-calls" + name, "calls/member-hour", runs, Seen::wronged);
        }
        report.add("exchange-bytes", "bytes", Basis.RECKONED, members.stream()
                .map(size -> Point.of(size, exchange(size))).toList());
        return report;
    }

    private static void add(SlopeReport report, String name, String unit, Map<Integer, List<Seen>> runs,
            java.util.function.ToDoubleFunction<Seen> what) {
        report.add(name, unit, Basis.SIMULATED, runs.entrySet().stream()
                .map(entry -> new Point(entry.getKey(), entry.getValue().stream().map(what::applyAsDouble)
                        .toList())).toList());
    }

    private Seen play(int size, double loss, long seed) {
        Swarm swarm = new Swarm(Settings.DEFAULTS, Network.GOOD.losing(loss), seed);
        swarm.populate(size);
        swarm.run(SETTLING);
        swarm.countAll();
        long bytes = swarm.bytes();
        long datagrams = swarm.messages();
        long syncs = swarm.syncs();
        int wronged = swarm.wrongedHealthy();
        long peak = 0;
        long[] before = new long[size];
        for (int second = 0; second < seconds; second++) {
            for (int i = 0; i < size; i++) {
                before[i] = swarm.bytes(i);
            }
            swarm.run(S);
            for (int i = 0; i < size; i++) {
                peak = Math.max(peak, swarm.bytes(i) - before[i]);
            }
        }
        double memberSeconds = (double) size * seconds;
        return new Seen((swarm.bytes() - bytes) / memberSeconds,
                (swarm.messages() - datagrams) / memberSeconds, peak,
                60 * (swarm.syncs() - syncs) / memberSeconds,
                (swarm.wrongedHealthy() - wronged) / (memberSeconds * S / HOUR));
    }

    /** What each side of a full exchange sends as its body: all members as they stand in messages. */
    private static double exchange(int size) {
        Swarm swarm = new Swarm(Settings.DEFAULTS, Network.GOOD, 1);
        swarm.populate(size);
        List<Member> all = swarm.core(0).members();
        List<MemberUpdate> news = all.stream().map(member -> new MemberUpdate(member, "")).toList();
        return message(all.get(0), news) - message(all.get(0), List.of());
    }

    private static int message(Member from, List<MemberUpdate> news) {
        return new Message(Message.Kind.NEWS, 1, "", null, from, 0, news).encodedSize("slope");
    }
}
