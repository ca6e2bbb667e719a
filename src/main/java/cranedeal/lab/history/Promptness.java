package cranedeal.lab.history;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Checks that a balancer gives up a request early: a request that reached no upstream must not be refused or
 * failed after more than half of the time until its deadline.
 */
public final class Promptness extends Checker {

    private static final double MAX_DEADLINE_SHARE = 0.5;
    private final double slackMs;
    private final FaultWindows faultWindows = new FaultWindows();
    private final Map<String, Event.Sent> open = new HashMap<>();
    private final Set<String> attempted = new HashSet<>();
    /** False during the warm-up: the lab itself is slow then, so its timings are not checked. */
    private boolean loadStarted;

    /** Creates a checker; the slack is added to the allowed time, in milliseconds. */
    public Promptness(double slackMs) {
        super("prompt-refusal");
        this.slackMs = slackMs;
    }

    @Override
    public void accept(Event event) {
        faultWindows.accept(event);
        loadStarted |= event instanceof Event.LoadChanged;
        if (event instanceof Event.Sent sent && loadStarted) {
            open.put(sent.id(), sent);
        } else if (event instanceof Event.Arrived arrived) {
            // Attempts that arrive after the answer are ignored: their entries would never be removed.
            if (open.containsKey(arrived.id())) {
                attempted.add(arrived.id());
            }
        } else if (event instanceof Event.Answered answered) {
            Event.Sent sent = open.remove(answered.id());
            boolean seen = attempted.remove(answered.id());
            boolean givenUp = answered.end() == Event.End.REFUSED || answered.end() == Event.End.FAILED;
            if (sent != null && !seen && givenUp) {
                checkDelay(sent, answered);
            }
        }
    }

    private void checkDelay(Event.Sent sent, Event.Answered answered) {
        double took = answered.at() - sent.at();
        double most = MAX_DEADLINE_SHARE * (sent.deadline() - sent.at()) + slackMs;
        // An attempt may be held up in a cut link, and a paused balancer cannot answer.
        if (took > most && !faultWindows.affected(answered.balancer(), sent.at(), answered.at())
                && !faultWindows.anyLinkAffected(answered.balancer(), sent.at(), answered.at())) {
            broken(answered.at(), "%s gives %s up after %.0f of %.0f ms, and no upstream has seen it",
                    answered.balancer(), answered.id(), took, sent.deadline() - sent.at());
        }
    }
}
