package cranedeal.lab.slope;

import cranedeal.lab.standin.AnswerFault;
import cranedeal.lab.standin.DiscoveryPace;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/** Draws trials by seed: discovery faults that still let a list arrive in time, and balancer faults. */
final class DrainDraw {

    private static final int[] UPSTREAMS = {20, 200, 800, 3_200};
    private static final int MAX_BALANCERS = 4;
    private static final double RATE = 100;
    private static final double AFTER_S = 10;
    /** Maximum time to answer all balancers in turn, or to answer one call. */
    private static final double MAX_ANSWER_MS = 3_000;
    private static final int MAX_FAULTS = 3;
    private static final double MAX_FAULT_DELAY_MS = 500;
    /** Balancer faults happen within this time before the change. */
    private static final double FAULTS_WITHIN_S = 5;

    private DrainDraw() {
    }

    static DrainTrial.Plan plan(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int balancers = random.nextInt(1, MAX_BALANCERS + 1);
        int upstreams = UPSTREAMS[random.nextInt(UPSTREAMS.length)];
        return new DrainTrial.Plan(upstreams, balancers, RATE, AFTER_S, trouble(balancers, random),
                faults(balancers, random), seed);
    }

    private static DiscoveryTrouble trouble(int balancers, SplittableRandom random) {
        double ms = random.nextDouble(MAX_ANSWER_MS);
        return switch (random.nextInt(3)) {
            case 0 -> new DiscoveryTrouble(DiscoveryPace.patient(0, ms), List.of());
            case 1 -> new DiscoveryTrouble(DiscoveryPace.patient(ms / balancers, 0), List.of());
            default -> new DiscoveryTrouble(DiscoveryPace.ofCalls(0), answerFaults(balancers, random));
        };
    }

    /** Draws one kind of fault, for as many answers per balancer as still allow a list in time. */
    private static List<AnswerFault> answerFaults(int balancers, SplittableRandom random) {
        AnswerFault.Kind[] kinds = AnswerFault.Kind.values();
        AnswerFault.Kind kind = kinds[random.nextInt(kinds.length)];
        int times = kind == AnswerFault.Kind.SILENT ? 1 : random.nextInt(1, MAX_FAULTS + 1);
        AnswerFault fault = new AnswerFault(kind, random.nextDouble(MAX_FAULT_DELAY_MS));
        return Collections.nCopies(times * (balancers > 1 ? 2 : 1), fault);
    }

    private static List<BalancerFault> faults(int balancers, SplittableRandom random) {
        List<BalancerFault> faults = new ArrayList<>();
        for (int i = random.nextInt(MAX_FAULTS + 1); i > 0; i--) {
            BalancerFault.Kind kind = random.nextInt(3) == 0 ? BalancerFault.Kind.RESTART
                    : BalancerFault.Kind.RELOAD;
            faults.add(new BalancerFault(random.nextDouble(FAULTS_WITHIN_S), random.nextInt(balancers),
                    kind));
        }
        return faults;
    }
}
