package cranedeal.lab;

import cranedeal.lab.hollow.HollowConfig;
import cranedeal.lab.hollow.HollowGroup;
import cranedeal.lab.process.ProcessSupervisor;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** All hollow balancers of an experiment, dealt out in turn among their processes. */
final class HollowFleet {

    private static final int LOOPS = 2;
    /** So many start at a time: all at once, they would wait for one another on the loops that they share. */
    private static final int WAVE = 20;
    private static final long WAVE_MS = 250;

    private final List<HollowGroup> groups = new ArrayList<>();

    /**
     * Processes that have started, with none of their balancers running. Whoever closes the warden ends them.
     *
     * @param controls where the lab calls each process, by its number
     */
    HollowFleet(Experiment experiment, List<HollowConfig.Balancer> all, List<String> seeds,
            IntFunction<String> controls, Path folder, ProcessSupervisor warden, HttpClient http)
            throws IOException, InterruptedException {
        int processes = experiment.scale().processes();
        for (int i = 0; i < processes; i++) {
            List<HollowConfig.Balancer> its = new ArrayList<>();
            for (int j = i; j < all.size(); j += processes) {
                its.add(all.get(j));
            }
            groups.add(HollowGroup.start("hollow-" + i, new HollowConfig(controls.apply(i),
                    experiment.name(), experiment.scale().periodMs(), LOOPS, seeds, its), folder, warden,
                    http));
        }
    }

    List<HollowGroup> groups() {
        return groups;
    }

    /** Starts these, one wave after the other; they join in their own time. */
    void start(Collection<String> names) throws IOException, InterruptedException {
        List<String> left = List.copyOf(names);
        for (int from = 0; from < left.size(); from += WAVE) {
            if (from > 0) {
                TimeUnit.MILLISECONDS.sleep(WAVE_MS);
            }
            for (HollowGroup group : groups) {
                group.startBalancers(left.subList(from, Math.min(left.size(), from + WAVE)));
            }
        }
    }

    /** Ends these; each tells the others that it leaves, or goes without a word. */
    void end(Collection<String> names, boolean leave) throws IOException, InterruptedException {
        for (HollowGroup group : groups) {
            if (leave) {
                group.leave(names);
            } else {
                group.kill(names);
            }
        }
    }
}
