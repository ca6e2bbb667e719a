package cranedeal.lab.history;

import java.util.HashMap;
import java.util.Map;

/** Checks that each try ends exactly once and each request has one final answer, that of its last try. */
public final class OneAnswer extends Checker {

    private final Map<String, Event.Sent> open = new HashMap<>();
    private final Map<Long, Integer> openTries = new HashMap<>();

    /** Creates a checker for a history that is read from its beginning. */
    public OneAnswer() {
        super("one-answer");
    }

    @Override
    public void accept(Event event) {
        if (event instanceof Event.Sent sent) {
            if (open.put(sent.id(), sent) != null) {
                broken(sent.at(), "%s was sent twice", sent.id());
            }
            openTries.merge(sent.request(), 1, Integer::sum);
        } else if (event instanceof Event.Answered answered) {
            if (open.remove(answered.id()) == null) {
                broken(answered.at(), "%s has a second answer, or was never sent", answered.id());
            }
        } else if (event instanceof Event.Ended ended) {
            Integer tries = openTries.remove(ended.request());
            if (tries == null || tries != ended.tries()) {
                broken(ended.at(), "request %d ended a second time, or not by its last try", ended.request());
            }
        }
    }

    @Override
    void end() {
        open.values().forEach(sent -> broken(sent.at(), "%s never ended", sent.id()));
        openTries.forEach((request, tries) -> broken(0, "request %d has no final answer", request));
    }
}
