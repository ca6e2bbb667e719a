package cranedeal.lab.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that a running balancer leaves no try without an answer, either by closing its connection or by
 * silence until half a second after the deadline. Tries whose balancer was killed, paused or cut off in the
 * meantime are excused.
 */
public final class Unanswered extends Checker {

    /** How much later than the end of its connections the end of a process may be recorded. */
    private static final double PROCESS_EVENT_DELAY_MS = 2_000;

    private final Event.End unansweredEnd;
    private final FaultWindows faultWindows = new FaultWindows();
    private final Map<String, Event.Sent> open = new HashMap<>();
    /** The sending time of each unanswered try. */
    private final Map<Event.Answered, Double> sentAt = new HashMap<>();
    private final List<Event.Answered> unanswered = new ArrayList<>();
    /** False during the warm-up: the lab itself is slow then and may see an answer too late. */
    private boolean loadStarted;

    private Unanswered(String rule, Event.End left) {
        super(rule);
        this.unansweredEnd = left;
    }

    /** Creates a checker for tries whose connection a balancer closed. */
    public static Unanswered byClosing() {
        return new Unanswered("no-broken-connection", Event.End.BROKEN);
    }

    /** Creates a checker for tries left open; a delay within the lab itself looks the same. */
    public static Unanswered bySilence() {
        return new Unanswered("answered-in-time", Event.End.SILENT);
    }

    @Override
    public void accept(Event event) {
        faultWindows.accept(event);
        loadStarted |= event instanceof Event.LoadChanged;
        if (event instanceof Event.Sent sent) {
            open.put(sent.id(), sent);
        } else if (event instanceof Event.Answered answered) {
            Event.Sent sent = open.remove(answered.id());
            if (sent != null && answered.end() == unansweredEnd && loadStarted) {
                unanswered.add(answered);
                sentAt.put(answered, sent.at());
            }
        }
    }

    @Override
    void end() {
        for (Event.Answered answered : unanswered) {
            double sent = sentAt.get(answered);
            double until = answered.at() + PROCESS_EVENT_DELAY_MS;
            if (!faultWindows.affected(answered.balancer(), sent, until)
                    && !faultWindows.affected(FaultWindows.link("clients", answered.balancer()), sent,
                            until)) {
                broken(answered.at(), "%s took %s, sent %.0f ms before, and left it without an answer",
                        answered.balancer(), answered.id(), answered.at() - sent);
            }
        }
    }
}
