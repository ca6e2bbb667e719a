package cranedeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.LoadBalancer.Settings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Many servers that started at one time, as after a zone's return. At the end of their warm-up all of them
 * were taken from one group to another in one event: that loop of ReadyServers.advance had no bound.
 */
class WarmUpEndsTest {

    private static final int MANY = 3_200;
    private static final double NOW = 100_000;
    /** So many may be taken in at one event. */
    private static final int FEW = 64;

    private final Settings settings = Sites.plain().build();
    private final List<Server> servers = new ArrayList<>();
    private final ReadyServers ready = readyServers();

    private ReadyServers readyServers() {
        ClassRecord[] classes = new ClassRecord[settings.classes().size()];
        Arrays.setAll(classes, i -> new ClassRecord(i, settings.classes().get(i), 1, 1, 1));
        for (ClassRecord one : classes) {
            one.leader = one;
        }
        Server.Kind[] kinds = {new Server.Kind(1)};
        CostModel costs = new CostModel();
        costs.retune(settings, classes);
        ReadyServers all = new ReadyServers(settings, classes, kinds, costs, new DrawCounts(), NOW);
        for (int i = 0; i < MANY; i++) {
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
    void warmUpsThatEndTogetherAreTakenInAFewAtAnEvent() {
        double later = NOW + settings.rules().warmUp();
        for (int left = MANY; left > 0; left = cold()) {
            ready.advance(later);
            assertTrue(left - cold() <= FEW, left - cold() + " taken in at one event");
            assertTrue(cold() < left, "none taken in");
        }
        assertEquals(0, cold());
    }
}
