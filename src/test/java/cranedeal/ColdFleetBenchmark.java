package cranedeal;

import cranedeal.ColdFleet.Scenario;
import cranedeal.ColdFleet.Loss;
import cranedeal.ColdFleet.Repeats;
import cranedeal.ColdFleet.Observed;
import cranedeal.ColdFleet.Start;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Compares in virtual time what fleets of 4 to 100 balancers send to cold servers with the allowed number.
 * Run by hand; prints the worst window of each seed of a scenario.
 */
final class ColdFleetBenchmark {

    static final int[] FLEETS = {4, 16, 30, 100};

    private ColdFleetBenchmark() {
    }

    /** Returns the scenarios of a fleet, with half as many servers as balancers and at least eight. */
    static List<Scenario> cases(int balancers) {
        int servers = Math.max(8, balancers / 2);
        int fifth = servers / 5;
        double rate = balancers < 16 ? 40 : 10;
        Scenario plain = new Scenario("steady", balancers, servers, rate, 0.55, fifth, 1, 0, 0,
                Loss.UNREACHABLE, 1, Repeats.MARKED, Start.LISTED);
        List<Scenario> cases = new ArrayList<>();
        cases.add(plain);
        cases.add(plain.named("re-enabled").with(Start.REENABLED));
        cases.add(plain.named("re-enabled, low traffic").with(Start.REENABLED).rate(rate / 3));
        cases.add(plain.named("burst at the start").burst(3, 0));
        cases.add(plain.named("burst later").burst(3, 3_000));
        cases.add(plain.named("burst, unmarked").burst(3, 3_000).with(Repeats.UNMARKED));
        cases.add(plain.named("half lost").burst(1.5, 3_000).lose(0.5, Loss.UNREACHABLE));
        cases.add(plain.named("all lost").burst(1, 3_000).lose(1, Loss.UNREACHABLE));
        cases.add(plain.named("all lost, unmarked").burst(1, 3_000).lose(1, Loss.UNREACHABLE)
                .with(Repeats.UNMARKED));
        cases.add(plain.named("half drain").burst(1.5, 3_000).lose(0.5, Loss.DRAINING));
        cases.add(plain.named("all drain").burst(1, 3_000).lose(1, Loss.DRAINING));
        cases.add(plain.named("all drain early").burst(1.5, 1_000).lose(1, Loss.DRAINING));
        cases.add(plain.named("all drain, unmarked").burst(1.5, 1_500).lose(1, Loss.DRAINING)
                .with(Repeats.UNMARKED));
        cases.add(plain.named("all drain, low traffic").burst(1.5, 2_000).lose(1, Loss.DRAINING)
                .rate(rate / 5));
        cases.add(plain.named("all drain, lowest traffic").burst(1.5, 2_000).lose(1, Loss.DRAINING)
                .rate(rate / 10));
        cases.add(plain.named("one busy balancer").burst(2, 1_000).lose(0.5, Loss.UNREACHABLE)
                .heaviest(Math.min(8, balancers / 2)));
        cases.add(plain.named("one busy, all drain").burst(1, 1_000).lose(1, Loss.DRAINING)
                .heaviest(Math.min(8, balancers / 2)));
        cases.add(plain.named("most are cold").burst(2, 500).cold(servers * 3 / 4));
        cases.add(plain.named("all are cold").burst(2, 500).cold(servers).with(Repeats.UNMARKED));
        return cases;
    }

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        for (int balancers : FLEETS) {
            for (Scenario scenario : cases(balancers)) {
                StringBuilder worstWindows = new StringBuilder();
                double share = 0;
                double served = 0;
                double worst = 0;
                for (int seed = 1; seed <= seeds; seed++) {
                    Observed observed = ColdFleet.run(scenario, seed);
                    worstWindows.append(String.format(Locale.ROOT, " %d/%.0f", observed.worstCount(),
                            observed.allowed()));
                    share += observed.coldShare() / seeds;
                    served += observed.servedShare() / seeds;
                    worst = Math.max(worst, observed.worstRatio());
                }
                System.out.printf(Locale.ROOT, "%3d %-24s %s worst %.2f; %.2f of its share, served %.3f%n",
                        balancers, scenario.name(), worstWindows, worst, share, served);
            }
        }
    }
}
