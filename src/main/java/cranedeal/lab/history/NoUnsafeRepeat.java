package cranedeal.lab.history;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no try runs twice where a repeat has an effect. After an upstream has accepted an attempt, an
 * at-most-once class allows no second attempt, and a deduplicated class allows one only in the same cell.
 */
public final class NoUnsafeRepeat extends Checker {

    private final Map<String, Effect> effects;
    private final Map<String, Integer> cells;
    private final Map<String, Event.Arrived> firstArrivals = new HashMap<>();

    /** Creates a checker from the effect of each class and the cell of each upstream. */
    public NoUnsafeRepeat(Map<String, Effect> effects, Map<String, Integer> cells) {
        super("no-unsafe-repeat");
        this.effects = Map.copyOf(effects);
        this.cells = Map.copyOf(cells);
    }

    @Override
    public void accept(Event event) {
        if (!(event instanceof Event.Arrived arrived) || !arrived.taken()) {
            return;
        }
        Effect effect = effects.getOrDefault(arrived.serviceClass(), Effect.AT_MOST_ONCE);
        if (effect == Effect.IDEMPOTENT) {
            return;
        }
        // After a broken connection the client may have sent the try again through another balancer.
        Event.Arrived earlier = firstArrivals.putIfAbsent(arrived.id() + ' ' + arrived.balancer(), arrived);
        if (earlier != null && (effect == Effect.AT_MOST_ONCE
                || !cells.get(earlier.upstream()).equals(cells.get(arrived.upstream())))) {
            broken(arrived.at(), "%s of %s runs at %s and at %s", arrived.id(), arrived.serviceClass(),
                    earlier.upstream(), arrived.upstream());
        }
    }
}
