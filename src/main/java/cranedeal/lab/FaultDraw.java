package cranedeal.lab;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** Draws faults for an experiment; the same seed draws the same ones on any machine. */
final class FaultDraw {

    private static final int MAX_FAULTS = 5;
    /** Faults begin between these fractions of the load. */
    private static final double EARLIEST_BEGIN = 0.1;
    private static final double LATEST_BEGIN = 0.6;
    private static final double MAX_DURATION_SHARE = 0.25;
    private static final double MIN_DURATION_S = 0.2;
    private static final double MS_PER_S = 1_000;
    private static final JsonMapper JSON = new JsonMapper();

    private FaultDraw() {
    }

    /** Draws one to five faults, as the tables of an experiment's file. */
    static List<ObjectNode> draw(Experiment of, long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        List<ObjectNode> faults = new ArrayList<>();
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            faults.add(drawFault(of, random));
        }
        return faults;
    }

    private static ObjectNode drawFault(Experiment of, RandomGenerator random) {
        List<Fault.Kind> kinds = new ArrayList<>(List.of(Fault.Kind.values()));
        if (!of.door()) {
            kinds.remove(Fault.Kind.UPGRADE);
        }
        List<String> regions = of.scale().regionNames();
        if (regions.size() < 2) {
            kinds.remove(Fault.Kind.PART);
        }
        Fault.Kind kind = pickRandom(kinds, random);
        double duration = of.load().durationMs() / MS_PER_S;
        ObjectNode fault = JSON.createObjectNode().put("kind", TomlTable.word(kind))
                .put("at_s", rounded(duration * random.nextDouble(EARLIEST_BEGIN, LATEST_BEGIN)));
        if (kind.lasts()) {
            fault.put("for_s", rounded(MIN_DURATION_S + duration * MAX_DURATION_SHARE * random.nextDouble()));
        }
        String balancer = pickRandom(of.balancerNames(), random);
        String upstream = pickRandom(of.upstreamNames(), random);
        if (kind.ofLinks()) {
            drawLinkEnds(fault, balancer, upstream, random);
        } else if (kind == Fault.Kind.PART) {
            int from = random.nextInt(regions.size());
            int further = 1 + random.nextInt(regions.size() - 1);
            fault.put("from", regions.get(from)).put("to", regions.get((from + further) % regions.size()));
        } else {
            boolean ofUpstream = kind.ofUpstreamsOnly() || !kind.ofBalancersOnly() && random.nextBoolean();
            fault.put("target", ofUpstream ? upstream : balancer);
        }
        switch (kind) {
            case CUT -> fault.put("one_way", random.nextBoolean());
            case IMPAIR -> fault.put("delay_ms", rounded(200 * random.nextDouble()))
                    .put("jitter_ms", rounded(100 * random.nextDouble()))
                    .put("loss", rounded(0.2 * random.nextDouble()));
            case SLOW -> fault.put("amount", rounded(2 + 20 * random.nextDouble()));
            case FAIL -> fault.put("amount", rounded(random.nextDouble()));
            default -> { }
        }
        return fault;
    }

    private static void drawLinkEnds(ObjectNode fault, String balancer, String upstream,
            RandomGenerator random) {
        switch (random.nextInt(4)) {
            case 0 -> fault.put("from", balancer).put("to", Experiment.DISCOVERY);
            case 1 -> fault.put("from", Experiment.CLIENTS).put("to", balancer);
            case 2 -> fault.put("from", balancer).put("to", upstream);
            default -> fault.put("from", "n*").put("to", upstream);
        }
    }

    private static <T> T pickRandom(List<T> from, RandomGenerator random) {
        return from.get(random.nextInt(from.size()));
    }

    private static double rounded(double value) {
        return Math.round(value * MS_PER_S) / MS_PER_S;
    }
}
