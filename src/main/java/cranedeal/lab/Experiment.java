package cranedeal.lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.lab.history.Effect;
import cranedeal.lab.report.Analysis;
import cranedeal.lab.standin.Load;
import cranedeal.lab.standin.UpstreamKind;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An experiment: its parties, their load, the faults, and the bounds to keep.
 *
 * @param seed the seed of all random draws
 * @param balancers the number of balancers, named {@code n0} and so on
 * @param door true if balancers have an admin endpoint, which an upgrade needs
 * @param members true if balancers are members of a fleet
 * @param state true if balancers have a state folder that is kept over restarts
 * @param sockets the number of descriptors that a balancer may hold
 * @param memoryMb the memory limit in the configuration of a balancer
 * @param listLateMs the delay with which discovery announces a change
 * @param callMs the time that discovery takes for a call
 * @param frontEveryMs the interval of the front's health checks
 * @param settings overrides of the balancers' default settings
 * @param scale the hollow balancers and regions of a large fleet; {@link Scale#NONE} if there are none
 */
record Experiment(String name, long seed, int balancers, boolean door, boolean members, boolean state,
        int sockets, int memoryMb, List<UpstreamKind> kinds, List<String> zones, double listLateMs,
        double callMs, long frontEveryMs, Load load, ObjectNode settings, List<Fault> faults,
        Analysis.Bounds must, Scale scale) {

    static final String CLIENTS = "clients";
    static final String DISCOVERY = "discovery";

    /** Returns a copy with other faults. */
    Experiment with(List<Fault> others) {
        return new Experiment(name, seed, balancers, door, members, state, sockets, memoryMb, kinds,
                zones, listLateMs, callMs, frontEveryMs, load, settings, others, must, scale);
    }

    List<String> balancerNames() {
        return names("n", balancers);
    }

    List<String> hollowNames() {
        return names("h", scale.hollow());
    }

    /** Returns the names of all members of the fleet, real and hollow. */
    List<String> memberNames() {
        List<String> all = new ArrayList<>(balancerNames());
        all.addAll(hollowNames());
        return all;
    }

    /** Returns the region of a member's zone; zones are assigned to regions in turn. */
    int region(String name) {
        return zones.indexOf(zone(name)) % scale.regions();
    }

    /** Returns true if a pattern matches a member by its name or its zone. */
    boolean names(String pattern, String member) {
        return Fault.matches(pattern, member) || pattern.equals(zone(member));
    }

    List<String> upstreamNames() {
        return names("u", kinds.stream().mapToInt(UpstreamKind::count).sum());
    }

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    /** Returns the kind of each upstream, in the order of {@link #upstreamNames}. */
    List<UpstreamKind> upstreamKinds() {
        List<UpstreamKind> all = new ArrayList<>();
        kinds.forEach(kind -> {
            for (int i = 0; i < kind.count(); i++) {
                all.add(kind);
            }
        });
        return all;
    }

    /** Returns the effect of each class, by its name. */
    Map<String, Effect> effects() {
        Map<String, Effect> effects = new LinkedHashMap<>();
        load.classes().forEach(one -> effects.put(one.name(), one.effect()));
        return effects;
    }

    /** Returns the cell of each upstream; two successive upstreams share a cell. */
    Map<String, Integer> cells() {
        Map<String, Integer> cells = new LinkedHashMap<>();
        upstreamNames().forEach(name -> cells.put(name, cells.size() / 2));
        return cells;
    }

    /** Returns how long a cell remembers the keys that it has seen. */
    double longestMemoryMs() {
        return load.classes().stream().mapToDouble(BalancerConfig::memoryMs).max().orElse(0);
    }

    /** Returns the zone of a balancer or an upstream; zones are assigned in turn. */
    String zone(String name) {
        return zones.get(Integer.parseInt(name.substring(1)) % zones.size());
    }
}
