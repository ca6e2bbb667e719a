package cranedeal.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Runs what callers do, some at once. */
final class Plays {

    private Plays() {
    }

    /** Runs all plays, and returns what is reported of those that went wrong; the others return null. */
    static List<String> run(List<Callable<String>> plays, int atOnce) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(atOnce);
        try {
            List<String> wrong = new ArrayList<>();
            for (Future<String> played : callers.invokeAll(plays)) {
                if (played.get() != null) {
                    wrong.add(played.get());
                }
            }
            return wrong;
        } finally {
            callers.shutdownNow();
        }
    }
}
