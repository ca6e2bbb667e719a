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
 * An experiment: who takes part, what is asked of them, what goes wrong, and what must hold.
 *
 * @param seed of whatever is drawn
 * @param balancers how many there are, {@code n0} and so on
 * @param door whether balancers have an operators' door, as an upgrade needs
 * @param members whether balancers are members of a fleet
 * @param state whether balancers have a folder that outlasts them
 * @param sockets how many descriptors a balancer may hold
 * @param memoryMb how much memory a balancer is told it may use
 * @param listLateMs how late discovery tells of a change
 * @param callMs how long discovery works on a call
 * @param frontEveryMs how often the front asks balancers for their health
 * @param settings what of the balancers' settings is to be otherwise than usual
 * @param scale what a fleet has that is larger than the machine; {@link Scale#NONE} for one that is not
 */
record Experiment(String name, long seed, int balancers, boolean door, boolean members, boolean state,
        int sockets, int memoryMb, List<UpstreamKind> kinds, List<String> zones, double listLateMs,
        double callMs, long frontEveryMs, Load load, ObjectNode settings, List<Fault> faults,
        Analysis.Bounds must, Scale scale) {

    static final String CLIENTS = "clients";
    static final String DISCOVERY = "discovery";

    /** With other faults; for campaigns. */
    Experiment with(List<Fault> others) {
        return new Experiment(name, seed, balancers, door, members, state, sockets, memoryMb, kinds,
                zones, listLateMs, callMs, frontEveryMs, load, settings, others, must, scale);
    }

    /** The names of the balancers. */
    List<String> balancerNames() {
        return names("n", balancers);
    }

    /** The names of the hollow balancers. */
    List<String> hollowNames() {
        return names("h", scale.hollow());
    }

    /** The names of all that are members of the fleet: real and hollow. */
    List<String> memberNames() {
        List<String> all = new ArrayList<>(balancerNames());
        all.addAll(hollowNames());
        return all;
    }

    /** The region of a member's zone; the zones are dealt out in turn. */
    int region(String name) {
        return zones.indexOf(zone(name)) % scale.regions();
    }

    /** Whether a pattern names a member: by its name, or by its zone. */
    boolean names(String pattern, String member) {
        return Fault.matches(pattern, member) || pattern.equals(zone(member));
    }

    /** The names of the upstreams. */
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

    /** The kind of each upstream, in the order of their names. */
    List<UpstreamKind> upstreamKinds() {
        List<UpstreamKind> all = new ArrayList<>();
        kinds.forEach(kind -> {
            for (int i = 0; i < kind.count(); i++) {
                all.add(kind);
            }
        });
        return all;
    }

    /** The effect of each class. */
    Map<String, Effect> effects() {
        Map<String, Effect> effects = new LinkedHashMap<>();
        load.classes().forEach(one -> effects.put(one.name(), one.effect()));
        return effects;
    }

    /** The cell of each upstream: two neighbours share one. */
    Map<String, Integer> cells() {
        Map<String, Integer> cells = new LinkedHashMap<>();
        upstreamNames().forEach(name -> cells.put(name, cells.size() / 2));
        return cells;
    }

    /** How long a cell remembers the keys that it has seen. */
    double longestMemoryMs() {
        return load.classes().stream().mapToDouble(BalancerConfig::memoryMs).max().orElse(0);
    }

    /** The zone of a balancer or an upstream, dealt out in turn. */
    String zone(String name) {
        return zones.get(Integer.parseInt(name.substring(1)) % zones.size());
    }
}
