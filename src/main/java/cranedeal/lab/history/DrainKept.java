package cranedeal.lab.history;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;

/** Checks that a balancer, once notified that an upstream drains or is gone, sends it no new attempts. */
public final class DrainKept extends Checker {

    private final double graceMs;
    private final FaultWindows faultWindows = new FaultWindows();
    /** Time at which each balancer was notified, by balancer and upstream. */
    private final Map<String, Double> notifiedAt = new HashMap<>();

    /** Creates a checker; the grace is how long after its notification a balancer may still start sending. */
    public DrainKept(double graceMs) {
        super("drain");
        this.graceMs = graceMs;
    }

    @Override
    public void accept(Event event) {
        faultWindows.accept(event);
        if (event instanceof Event.UpstreamNotified news) {
            if (news.state().equals("up")) {
                notifiedAt.remove(key(news.balancer(), news.upstream()));
            } else {
                notifiedAt.putIfAbsent(key(news.balancer(), news.upstream()), news.at());
            }
        } else if (event instanceof Event.Arrived arrived) {
            Double since = notifiedAt.get(key(arrived.balancer(), arrived.upstream()));
            // A faulty link can delay both the attempts, sent in time, and the notification.
            if (since != null && arrived.begun() > since + graceMs
                    && !affectedByFault(arrived, since)) {
                broken(arrived.begun(), "%s sends %s to %s, %.0f ms after it was told of the drain",
                        arrived.balancer(), arrived.id(), arrived.upstream(), arrived.begun() - since);
            }
        }
    }

    private boolean affectedByFault(Event.Arrived arrived, double since) {
        return Stream.of(arrived.balancer(), arrived.upstream(),
                FaultWindows.link(arrived.balancer(), arrived.upstream()),
                FaultWindows.link(arrived.balancer(), "discovery"))
                .anyMatch(name -> faultWindows.affected(name, since, arrived.begun()));
    }

    private static String key(String balancer, String upstream) {
        return balancer + ' ' + upstream;
    }
}
