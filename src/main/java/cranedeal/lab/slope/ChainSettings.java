package cranedeal.lab.slope;

import cranedeal.LoadBalancer.Goal;
import cranedeal.LoadBalancer.DedupScope;
import cranedeal.LoadBalancer.Limits;
import cranedeal.LoadBalancer.Prices;
import cranedeal.LoadBalancer.Idempotency;
import cranedeal.LoadBalancer.ReportMode;
import cranedeal.LoadBalancer.Rules;
import cranedeal.LoadBalancer.ServiceClass;
import cranedeal.LoadBalancer.Settings;
import cranedeal.LoadBalancer.WeightKind;
import java.util.List;

/**
 * The settings of a balancer in a chain of tiers: those that the lab writes for an experiment with one zone,
 * one machine type, no tenants and one idempotent class. An idempotent class is retried most, so it is the
 * worst case for retry amplification.
 */
public final class ChainSettings {

    /** The class's latency target in milliseconds, as in the lab's first experiment. */
    public static final double AIM_MS = 500;
    /** The client's deadline in milliseconds. */
    public static final double DEADLINE_MS = 2_000;
    /** The connect timeout in milliseconds. */
    static final double CONNECT_TIMEOUT_MS = 250;

    private ChainSettings() {
    }

    /** Returns the settings of one balancer; {@code tier} counts from 0, the tier that clients call. */
    public static Settings of(int tier, int tiers, int position, int siblings) {
        ServiceClass lookUp = new ServiceClass("look-up", AIM_MS, 0, DEADLINE_MS, 1, 0,
                Idempotency.IDEMPOTENT, DedupScope.ALL, 0, false, false, null, null);
        return new Settings(position, siblings, tier, tiers, 0, 1, 1, true, true, false, false, false, 0.1,
                WeightKind.NONE, ReportMode.NONE, List.of(), List.of(lookUp), List.of(),
                new Limits(4, 20_000, true, false, true, false, true, 2_000, CONNECT_TIMEOUT_MS, 30_000, 1, 0,
                        0),
                new Rules(20, 2_000, 10_000, 0.25, 10_000, 3, 1_500, 0),
                new Goal(0.7, 0.1, 0.1, 0.1, 0, 0, 0, 0),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0));
    }
}
