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

/** All hollow balancers of an experiment, assigned to their processes in turn. */
final class HollowFleet {

    private static final int EVENT_LOOPS = 2;
    /** Balancers are started in batches: all at once, they would delay one another on the shared loops. */
    private static final int BATCH_SIZE = 20;
    private static final long BATCH_INTERVAL_MS = 250;

    private final List<HollowGroup> groups = new ArrayList<>();

    /**
     * Starts the processes, with none of their balancers running. Closing the supervisor ends them.
     *
     * @param controls the control address of each process, by its number
     */
    HollowFleet(Experiment experiment, List<HollowConfig.Balancer> all, List<String> seeds,
            IntFunction<String> controls, Path folder, ProcessSupervisor supervisor, HttpClient http)
            throws IOException, InterruptedException {
        int processes = experiment.scale().processes();
        for (int i = 0; i < processes; i++) {
            List<HollowConfig.Balancer> assigned = new ArrayList<>();
            for (int j = i; j < all.size(); j += processes) {
                assigned.add(all.get(j));
            }
            groups.add(HollowGroup.start("hollow-" + i, new HollowConfig(controls.apply(i),
                    experiment.name(), experiment.scale().periodMs(), EVENT_LOOPS, seeds, assigned), folder,
                    supervisor,
                    http));
        }
    }

    List<HollowGroup> groups() {
        return groups;
    }

    /** Starts balancers batch by batch, without waiting for them to join. */
    void start(Collection<String> names) throws IOException, InterruptedException {
        List<String> pending = List.copyOf(names);
        for (int from = 0; from < pending.size(); from += BATCH_SIZE) {
            if (from > 0) {
                TimeUnit.MILLISECONDS.sleep(BATCH_INTERVAL_MS);
            }
            for (HollowGroup group : groups) {
                group.startBalancers(pending.subList(from, Math.min(pending.size(), from + BATCH_SIZE)));
            }
        }
    }

    /** Stops balancers; each announces that it leaves, or is killed without notice. */
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
