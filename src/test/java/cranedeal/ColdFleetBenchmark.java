package cranedeal;

import cranedeal.ColdFleet.Case;
import cranedeal.ColdFleet.Loss;
import cranedeal.ColdFleet.Repeats;
import cranedeal.ColdFleet.Seen;
import cranedeal.ColdFleet.Start;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What fleets of 4 to 100 balancers send to servers that are cold, beside what these may get, in virtual
 * time. Run by hand; prints the worst of a few seeds of each case.
 */
final class ColdFleetBenchmark {

    static final int[] FLEETS = {4, 16, 30, 100};

    private ColdFleetBenchmark() {
    }

    /** The cases of a fleet; servers as many as half of its balancers, at least eight. */
    static List<Case> cases(int balancers) {
        int servers = Math.max(8, balancers / 2);
        int fifth = servers / 5;
        double rate = balancers < 16 ? 40 : 10;
        Case plain = new Case("steady", balancers, servers, rate, 0.55, fifth, 1, 0, 0, Loss.UNREACHABLE, 1,
                Repeats.MARKED, Start.LISTED);
        List<Case> cases = new ArrayList<>();
        cases.add(plain);
        cases.add(plain.named("put back").with(Start.PUT_BACK));
        cases.add(plain.named("put back, thin").with(Start.PUT_BACK).rate(rate / 3));
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
        cases.add(plain.named("all drain, thin").burst(1.5, 2_000).lose(1, Loss.DRAINING).rate(rate / 5));
        cases.add(plain.named("all drain, thinnest").burst(1.5, 2_000).lose(1, Loss.DRAINING)
                .rate(rate / 10));
        cases.add(plain.named("one has most").burst(2, 1_000).lose(0.5, Loss.UNREACHABLE)
                .heaviest(Math.min(8, balancers / 2)));
        cases.add(plain.named("one has most, all drain").burst(1, 1_000).lose(1, Loss.DRAINING)
                .heaviest(Math.min(8, balancers / 2)));
        cases.add(plain.named("most are cold").burst(2, 500).cold(servers * 3 / 4));
        cases.add(plain.named("all are cold").burst(2, 500).cold(servers).with(Repeats.UNMARKED));
        return cases;
    }

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        for (int balancers : FLEETS) {
            for (Case its : cases(balancers)) {
                StringBuilder most = new StringBuilder();
                double share = 0;
                double served = 0;
                double worst = 0;
                for (int seed = 1; seed <= seeds; seed++) {
                    Seen seen = ColdFleet.play(its, seed);
                    most.append(String.format(Locale.ROOT, " %d/%.0f", seen.most(), seen.allowed()));
                    share += seen.share() / seeds;
                    served += seen.served() / seeds;
                    worst = Math.max(worst, seen.worst());
                }
                System.out.printf(Locale.ROOT, "%3d %-24s %s worst %.2f; %.2f of its share, served %.3f%n",
                        balancers, its.name(), most, worst, share, served);
            }
        }
    }
}
