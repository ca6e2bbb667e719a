package cranedeal.lab.history;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a cold upstream is not overloaded: in every window of the given length, the work that reaches
 * it stays within a multiple of the capacity that it has at the window's end. A window counts only if most
 * of its work comes from balancers that discovery had notified of the upstream's start.
 */
public final class ColdBudget extends Checker {

    /** A window over budget is a violation if notified balancers sent at least this share of its work. */
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;
    /** Allowance for chance: a window may exceed its budget by this many pieces of work of mean size. */
    private static final int SLACK_PIECES = 4;

    private final double multiple;
    private final double windowMs;
    private final Map<String, ColdUpstream> cold = new HashMap<>();

    /** Creates a checker with the allowed multiple of the capacity and the window in milliseconds. */
    public ColdBudget(double multiple, double windowMs) {
        super("cold-budget");
        this.multiple = multiple;
        this.windowMs = windowMs;
    }

    private record Piece(double at, double work, boolean informed) { }

    /** An upstream that has started and is still warming up. */
    private static final class ColdUpstream {

        private final Event.UpstreamStarted began;
        private final Map<String, Boolean> notified = new HashMap<>();
        private final ArrayDeque<Piece> window = new ArrayDeque<>();
        private double work;
        private double informedWork;
        private double totalWork;
        private long pieces;

        ColdUpstream(Event.UpstreamStarted began) {
            this.began = began;
        }

        void add(Piece piece, int sign) {
            work += sign * piece.work();
            informedWork += piece.informed() ? sign * piece.work() : 0;
        }
    }

    @Override
    public void accept(Event event) {
        if (event instanceof Event.UpstreamStarted began && began.warmMs() > 0) {
            cold.put(began.upstream(), new ColdUpstream(began));
        } else if (event instanceof Event.UpstreamNotified told && told.state().equals("up")
                && cold.containsKey(told.upstream())) {
            cold.get(told.upstream()).notified.put(told.balancer(), true);
        } else if (event instanceof Event.Arrived arrived && cold.containsKey(arrived.upstream())) {
            arrived(cold.get(arrived.upstream()), arrived);
        }
    }

    private void arrived(ColdUpstream upstream, Event.Arrived arrived) {
        double age = arrived.at() - upstream.began.at();
        if (age > upstream.began.warmMs()) {
            cold.remove(arrived.upstream());
            return;
        }
        Piece piece = new Piece(arrived.at(), arrived.work(),
                upstream.notified.containsKey(arrived.balancer()));
        upstream.window.add(piece);
        upstream.add(piece, 1);
        upstream.totalWork += piece.work();
        upstream.pieces++;
        while (upstream.window.peek().at() < arrived.at() - windowMs) {
            upstream.add(upstream.window.poll(), -1);
        }
        double share = upstream.began.coldShare() + (1 - upstream.began.coldShare()) * age
                / upstream.began.warmMs();
        double budget = multiple * upstream.began.capacity() * share * windowMs
                + SLACK_PIECES * upstream.totalWork / upstream.pieces;
        if (upstream.work > budget && upstream.informedWork >= MIN_INFORMED_SHARE * upstream.work) {
            broken(arrived.at(), "%s, cold for %.0f ms, is sent %.0f ms of work in %.0f ms, over %.0f",
                    arrived.upstream(), age, upstream.work, windowMs, budget);
            upstream.window.clear();
            upstream.work = 0;
            upstream.informedWork = 0;
        }
    }
}
