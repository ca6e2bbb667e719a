package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against unbounded work in one event: when many servers started at once, as after the return of a
 * zone, the end of their warm-up regrouped all of them in one event, since that loop of ReadyServers.advance
 * had no bound.
 */
class WarmUpEndsTest {

    private static final int SERVERS = 3_200;
    private static final double NOW = 100_000;
    /** Max servers regrouped in one event. */
    private static final int MAX_PER_EVENT = 64;

    private final Settings settings = Sites.plain().build();
    private final List<Server> servers = new ArrayList<>();
    private final ReadyServers ready = readyServers();

    private ReadyServers readyServers() {
        ClassStats[] classes = new ClassStats[settings.classes().size()];
        Arrays.setAll(classes, i -> new ClassStats(i, settings.classes().get(i), 1, 1, 1));
        for (ClassStats serviceClass : classes) {
            serviceClass.leader = serviceClass;
        }
        Server.MachineTypeStats[] kinds = {new Server.MachineTypeStats(1)};
        CostModel costs = new CostModel();
        costs.configure(settings, classes);
        ReadyServers all = new ReadyServers(settings, classes, kinds, costs, new DrawCounts(), NOW);
        for (int i = 0; i < SERVERS; i++) {
            Server server = new Server(Sites.server(i + 1).startedAt(NOW).listed(), i, NOW, kinds[0],
                    classes.length, NOW, 0);
            servers.add(server);
            all.add(server, NOW);
        }
        all.choosePreferred(NOW);
        return all;
    }

    private int cold() {
        return (int) servers.stream().filter(server -> server.cold).count();
    }

    @Test
    void warmUpsThatEndTogetherAreAppliedAFewPerEvent() {
        double later = NOW + settings.rules().warmUp();
        for (int before = SERVERS; before > 0; before = cold()) {
            ready.advance(later);
            assertTrue(before - cold() <= MAX_PER_EVENT, before - cold() + " regrouped in one event");
            assertTrue(cold() < before, "none regrouped");
        }
        assertEquals(0, cold());
    }
}
