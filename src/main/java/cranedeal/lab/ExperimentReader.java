package cranedeal.lab;

import cranedeal.lab.history.Effect;
import cranedeal.lab.link.Impairment;
import cranedeal.lab.process.DiskFault;
import cranedeal.lab.report.Analysis;
import cranedeal.lab.standin.Load;
import cranedeal.lab.standin.ServiceClass;
import cranedeal.lab.standin.UpstreamKind;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Reads an experiment's file and validates all of it; an invalid file is rejected as a whole. */
final class ExperimentReader {

    private static final double MS = 1_000;
    private static final double MAX_DURATION_S = 24 * 3_600;
    private static final int MAX_BALANCERS = 500;
    private static final int MAX_UPSTREAMS = 10_000;
    private static final int MAX_HOLLOW = 5_000;
    private static final int MAX_PROCESSES = 64;
    private static final int MAX_FAULTS = 200;
    private static final double MAX_NUMBER = 1e9;

    private ExperimentReader() {
    }

    /** Reads a file; error messages name file, line and key. */
    static Experiment read(Path file) throws ExperimentException {
        return read(TomlTable.read(file));
    }

    /** Reads an experiment from its top-level table. */
    static Experiment read(TomlTable top) throws ExperimentException {
        TomlTable fleet = top.table("fleet");
        int balancers = fleet.whole("balancers", 1, MAX_BALANCERS, 1);
        List<String> zones = zones(fleet);
        List<UpstreamKind> kinds = kinds(top);
        Load load = load(top);
        Experiment bare = new Experiment(top.text("name"), top.whole("seed", 0, Integer.MAX_VALUE, 1),
                balancers, fleet.flag("door"), fleet.flag("members"), fleet.flag("state"),
                fleet.whole("sockets", 64, 1 << 20, 1_024),
                fleet.whole("memory_mb", 32, 1 << 16, 192), kinds, zones,
                fleet.number("list_late_s", 0, MAX_DURATION_S, 0.5) * MS,
                fleet.number("discovery_call_ms", 0, MS, 1),
                (long) (fleet.number("front_every_s", 0.01, MAX_DURATION_S, 1) * MS), load,
                top.table("settings").content(), List.of(), must(top.table("must")),
                scale(top, balancers, zones.size()));
        fleet.rejectUnknownKeys();
        if (bare.scale().hollow() > 0 && !(bare.members() && bare.door())) {
            throw top.error("hollow", "hollow balancers need members = true and door = true in [fleet]");
        }
        List<Fault> faults = new ArrayList<>();
        List<TomlTable> given = top.tables("fault");
        if (given.size() > MAX_FAULTS) {
            throw top.error("fault", "more than " + MAX_FAULTS);
        }
        for (TomlTable fault : given) {
            faults.add(fault(fault, faults.size(), bare));
        }
        top.rejectUnknownKeys();
        return bare.with(List.copyOf(faults));
    }

    private static Scale scale(TomlTable top, int balancers, int zones) throws ExperimentException {
        if (!top.has("hollow")) {
            return Scale.NONE;
        }
        TomlTable hollow = top.table("hollow");
        TomlTable must = top.table("budget");
        Scale.Bounds bounds = new Scale.Bounds(must.number("core_share", 0, 1, Double.POSITIVE_INFINITY),
                must.number("bytes_per_s", 0, MAX_NUMBER, Double.POSITIVE_INFINITY),
                must.number("peak_bytes_per_s", 0, MAX_NUMBER, Double.POSITIVE_INFINITY),
                must.number("memory_mb", 0, MAX_NUMBER, Double.POSITIVE_INFINITY),
                must.number("views_s", 0, MAX_DURATION_S, Double.POSITIVE_INFINITY) * MS,
                must.number("alike", 0, MAX_NUMBER, Double.POSITIVE_INFINITY));
        must.rejectUnknownKeys();
        int count = hollow.whole("balancers", 1, MAX_HOLLOW, 1);
        int regions = hollow.whole("regions", 1, 26, 1);
        if (zones % regions != 0) {
            throw hollow.error("regions", zones + " zones can't be dealt out among " + regions);
        }
        Scale read = new Scale(count, hollow.whole("processes", 1, Math.min(count, MAX_PROCESSES), 1),
                regions, hollow.whole("probe_period_ms", 100, 60_000, 1_000),
                hollow.number("region_delay_ms", 0, MAX_NUMBER, 0),
                hollow.number("region_jitter_ms", 0, MAX_NUMBER, 0),
                hollow.number("region_loss", 0, 1, 0), bounds);
        hollow.rejectUnknownKeys();
        return read;
    }

    private static List<String> zones(TomlTable fleet) throws ExperimentException {
        int count = fleet.whole("zones", 1, 26, 1);
        List<String> zones = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            zones.add("zone-" + (char) ('a' + i));
        }
        return zones;
    }

    private static List<UpstreamKind> kinds(TomlTable top) throws ExperimentException {
        List<UpstreamKind> kinds = new ArrayList<>();
        int count = 0;
        for (TomlTable table : top.tables("upstreams")) {
            UpstreamKind kind = new UpstreamKind(table.text("kind"),
                    table.whole("count", 1, MAX_UPSTREAMS, 1), table.whole("cores", 1, 256, 2),
                    table.number("speed", 0.001, MS, 1),
                    table.whole("queue", 0, 1 << 20, 20), table.number("cold_share", 0.01, 1, 0.25),
                    table.number("warm_s", 0, MAX_DURATION_S, 10) * MS, table.number("error_rate", 0, 1, 0),
                    table.whole("connections", 1, 1 << 20, 600));
            table.rejectUnknownKeys();
            kinds.add(kind);
            count += kind.count();
            if (count > MAX_UPSTREAMS) {
                throw table.error("count", "more than " + MAX_UPSTREAMS + " upstreams");
            }
        }
        if (kinds.isEmpty()) {
            throw top.error("upstreams", "is missing: an experiment needs [[upstreams]]");
        }
        return List.copyOf(kinds);
    }

    private static Load load(TomlTable top) throws ExperimentException {
        List<ServiceClass> classes = new ArrayList<>();
        for (TomlTable table : top.tables("class")) {
            ServiceClass read = new ServiceClass(table.text("name"),
                    effect(table), table.number("share", 0, MAX_NUMBER, 1),
                    table.number("work_ms", 0.001, MAX_DURATION_S * MS),
                    table.number("aim_ms", 1, MAX_DURATION_S * MS, MS),
                    table.number("deadline_ms", 1, MAX_DURATION_S * MS, 2_500),
                    table.number("worth", 0, MAX_NUMBER, 1));
            if (classes.stream().anyMatch(other -> other.name().equals(read.name()))) {
                throw table.error("name", "two classes have the name '" + read.name() + "'");
            }
            table.rejectUnknownKeys();
            classes.add(read);
        }
        if (classes.isEmpty()) {
            throw top.error("class", "is missing: an experiment needs [[class]]");
        }
        Map<String, Double> tenants = new LinkedHashMap<>();
        for (TomlTable table : top.tables("tenant")) {
            tenants.put(table.text("name"), table.number("share", 0, MAX_NUMBER, 1));
            table.rejectUnknownKeys();
        }
        TomlTable load = top.table("load");
        double duration = load.number("duration_s", 0.1, MAX_DURATION_S) * MS;
        List<Load.Surge> surges = new ArrayList<>();
        for (TomlTable table : top.tables("surge")) {
            double from = table.number("at_s", 0, duration / MS) * MS;
            surges.add(new Load.Surge(from, from + table.number("for_s", 0, MAX_DURATION_S) * MS,
                    table.number("times", 1, MS)));
            table.rejectUnknownKeys();
        }
        Load read = new Load(load.number("rate_per_s", 0.01, 1e6),
                load.number("warm_up_s", 0, MAX_DURATION_S, 3) * MS, duration, List.copyOf(classes), tenants,
                List.copyOf(surges), load.whole("tries", 1, 10, 2),
                load.number("backoff_ms", 1, MAX_NUMBER, 200),
                load.number("connection_life_s", 0.01, MAX_DURATION_S, 5) * MS,
                load.whole("connections", 1, 1 << 16, 4_096));
        load.rejectUnknownKeys();
        return read;
    }

    private static Effect effect(TomlTable table) throws ExperimentException {
        String word = table.text("effect");
        for (Effect effect : Effect.values()) {
            if (effect.word().equals(word)) {
                return effect;
            }
        }
        throw table.error("effect", "idempotent, deduplicated or at_most_once is wanted, not '" + word + "'");
    }

    private static Analysis.Bounds must(TomlTable must) throws ExperimentException {
        Analysis.Bounds read = new Analysis.Bounds(must.number("served", 0, 1, 0),
                must.number("p99_ms", 0, MAX_NUMBER, Double.POSITIVE_INFINITY),
                must.number("recovery_s", 0, MAX_DURATION_S, Double.POSITIVE_INFINITY) * MS,
                must.number("attempts", 1, MAX_NUMBER, Double.POSITIVE_INFINITY));
        must.rejectUnknownKeys();
        return read;
    }

    private static Fault fault(TomlTable table, int number, Experiment of) throws ExperimentException {
        Fault.Kind kind = table.choice("kind", Fault.Kind.class, null);
        Set<String> foreign = new TreeSet<>();
        for (Fault.Kind other : Fault.Kind.values()) {
            foreign.addAll(other.keys);
        }
        foreign.removeAll(kind.keys);
        for (String key : foreign) {
            if (table.has(key)) {
                throw table.error(key, "does not belong to " + TomlTable.word(kind));
            }
        }
        double forMs = table.number("for_s", 0, MAX_DURATION_S, 0) * MS;
        if (!kind.lasts() && table.has("for_s")) {
            throw table.error("for_s", TomlTable.word(kind) + " has no length");
        }
        Fault.When when = when(table, of);
        if (when.process() == null && when.atMs() + forMs > of.load().durationMs()) {
            throw table.error(table.has("for_s") ? "for_s" : "at_s", "goes on longer than the load");
        }
        boolean two = kind.ofLinks() || kind == Fault.Kind.PART;
        String target = two ? null : target(table, kind, of);
        String from = two ? table.text("from") : null;
        String to = two ? table.text("to") : null;
        if (kind == Fault.Kind.PART) {
            requireRegion(table, "from", from, of);
            requireRegion(table, "to", to, of);
        }
        if (kind.ofLinks() && Testbed.links(of, from, to).isEmpty()) {
            throw table.error("to", "there is no link from '" + from + "' to '" + to + "'");
        }
        if (kind == Fault.Kind.UPGRADE && !of.door()) {
            throw table.error("kind", "an upgrade needs door = true in [fleet]");
        }
        boolean share = kind == Fault.Kind.FAIL;
        double amount = kind.keys.contains("amount")
                ? table.number("amount", share ? 0 : 0.01, share ? 1 : MAX_NUMBER) : 0;
        Fault fault = new Fault(number, kind, when, forMs, target, from, to, table.flag("one_way"),
                impairment(table, kind), amount,
                table.flag("keep_disk") || table.has("damage"),
                table.has("damage") ? table.choice("damage", DiskFault.class, null) : null);
        table.rejectUnknownKeys();
        return fault;
    }

    private static void requireRegion(TomlTable table, String key, String name, Experiment of)
            throws ExperimentException {
        if (!of.scale().regionNames().contains(name)) {
            throw table.error(key, "there is no region '" + name + "'; there are "
                    + of.scale().regionNames());
        }
    }

    private static Fault.When when(TomlTable table, Experiment of) throws ExperimentException {
        String process = table.text("when", null);
        if (process == null) {
            return new Fault.When(table.number("at_s", 0, MAX_DURATION_S) * MS, null, null);
        }
        if (!of.balancerNames().contains(process)) {
            throw table.error("when", "there is no process '" + process + "'");
        }
        return new Fault.When(table.number("after_s", 0, MAX_DURATION_S, 0) * MS, process,
                table.text("says"));
    }

    private static String target(TomlTable table, Fault.Kind kind, Experiment of) throws ExperimentException {
        String target = table.text("target");
        boolean balancer = of.balancerNames().stream().anyMatch(name -> of.names(target, name))
                || kind.ofHollow() && of.hollowNames().stream().anyMatch(name -> of.names(target, name));
        boolean upstream = of.upstreamNames().stream().anyMatch(name -> Fault.matches(target, name));
        if (!(balancer && !kind.ofUpstreamsOnly() || upstream && !kind.ofBalancersOnly())) {
            throw table.error("target", (balancer || upstream ? TomlTable.word(kind) + " is not for '"
                    : "there is no '") + target + "'");
        }
        return target;
    }

    private static Impairment impairment(TomlTable table, Fault.Kind kind) throws ExperimentException {
        return switch (kind) {
            case CUT -> Impairment.BLOCKED;
            case IMPAIR -> new Impairment(false, table.number("delay_ms", 0, MAX_NUMBER, 0),
                    table.number("jitter_ms", 0, MAX_NUMBER, 0), table.number("loss", 0, 1, 0),
                    0, 0, table.number("bytes_per_s", 0, MAX_NUMBER, 0));
            default -> Impairment.NONE;
        };
    }
}
