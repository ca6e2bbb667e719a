package cranedeal.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import cranedeal.fleet.command.Program;
import cranedeal.fleet.config.ConfigFollower;
import cranedeal.fleet.config.ConfigMember;
import cranedeal.fleet.membership.FleetMember;
import cranedeal.fleet.membership.Member;
import cranedeal.fleet.membership.PeerStore;
import cranedeal.fleet.membership.Settings;
import cranedeal.fleet.store.DurableValue;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The one class of this package that knows the fleet's packages. It is loaded only where they are asked for,
 * so that a balancer without them starts as fast and as small as ever.
 */
final class Fleet {

    /** A balancer's memory holds so many with ease. */
    private static final int MOST_MEMBERS = 2_000;
    /** The key in what is said of a configuration that can't be gone by. */
    private static final Pattern KEY = Pattern.compile("\\bsetting ([\\w.]+) |"
            + "\\b(discovery|settings[\\w.]*)");

    private Fleet() {
    }

    /** Runs the command line; {@code serve} and {@code wire} are brought along. */
    static int run(Callable<Integer> serve, Callable<Integer> wire, String... args) {
        String serves = "Runs one balancer; PROXY_CONFIG names its configuration.";
        String hosts = "Hosts the decisions on the simulator's wire.";
        return Program.run(Map.of("serve", new Program.SuppliedCommand(serves, serve),
                "wire", new Program.SuppliedCommand(hosts, wire)), args);
    }

    /**
     * Orders that outlast a power loss, in a folder of the configuration's.
     *
     * @param old the folder where they were kept before, and are taken over from once; may be null
     */
    static OverrideStore overrideStore(Path folder, Path old) {
        return new KeptOrders(folder, old);
    }

    /** Throws {@link IllegalArgumentException} for what is no name of a fleet or of a member. */
    static void requireName(String name) {
        Member.requireName(name);
    }

    /** Takes what the fleet has published for a balancer's service. */
    interface PublishedConfigListener {

        /** Goes by it; null for nothing. Throws {@link ConfigException}, and then all is as before. */
        void apply(JsonNode section) throws ConfigException, InterruptedException;
    }

    /**
     * Makes this process a member of a fleet, as the configuration wants it.
     *
     * @param to told what the fleet publishes, if the configuration names a service
     */
    static MembershipHandle join(NodeConfig config, PublishedConfigListener to) {
        FleetConfig given = config.fleet();
        Package program = Program.class.getPackage();
        String version = program.getImplementationVersion();
        DurableValue peers = given.stateDir() == null ? null : new DurableValue(given.stateDir(),
                Node.LOG::warning);
        FleetMember member = new FleetMember(new FleetMember.Config(given.name(), config.name(),
                given.listen(), given.advertise(), given.seeds(), "serve",
                version == null ? "unpacked" : version,
                new Settings(given.periodMs(), Settings.DEFAULTS.forgetMs(), MOST_MEMBERS, true, true),
                new SecureRandom().nextLong()), peers == null ? PeerStore.NONE : new PeerStore() {

                    @Override
                    public byte[] read() throws IOException {
                        return peers.read();
                    }

                    @Override
                    public void write(byte[] bytes) throws IOException {
                        peers.update(before -> bytes);
                    }
                });
        if (given.service() != null) {
            new ConfigMember(member, ConfigFollower.Settings.defaults(given.service(), given.zone()),
                    given.stateDir() == null ? ConfigMember.StateStore.NONE
                    : new KeptConfig(given.stateDir()),
                    section -> take(section, to), new SecureRandom().nextLong());
        }
        member.start();
        return new MembershipHandle() {

            @Override
            public void handOver() {
                member.handOver();
            }

            @Override
            public void leave() {
                member.leave();
            }

            @Override
            public Map<String, Long> metrics() {
                return member.metrics();
            }
        };
    }

    private static void take(byte[] section, PublishedConfigListener to)
            throws ConfigMember.RefusedException {
        try {
            to.apply(section == null ? null : NodeConfig.JSON.readTree(section));
        } catch (ConfigException e) {
            Matcher named = KEY.matcher(e.getMessage());
            String key = !named.find() ? "" : named.group(1) != null ? "settings." + named.group(1)
                    : named.group(2);
            throw new ConfigMember.RefusedException(key, e.getMessage());
        } catch (IOException e) {
            throw new ConfigMember.RefusedException("", "it is no JSON: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConfigMember.RefusedException("", "interrupted");
        }
    }

    /** The configuration that a member has, in a store. */
    private static final class KeptConfig implements ConfigMember.StateStore {

        private final DurableValue kept;

        KeptConfig(Path stateDir) {
            kept = new DurableValue(stateDir.resolve("config"), Node.LOG::warning);
        }

        @Override
        public byte[] read() throws IOException {
            return kept.read();
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            kept.update(before -> bytes);
        }
    }

    /** Orders in a store: each record has them whole, and the last one holds. */
    private static final class KeptOrders implements OverrideStore {

        private static final int FORM = 1;

        private final DurableValue kept;
        private final Path old;

        KeptOrders(Path folder, Path old) {
            kept = new DurableValue(folder, Node.LOG::warning);
            this.old = old;
        }

        @Override
        public OperatorOverrides read() throws IOException {
            return orders(kept.read());
        }

        @Override
        public OperatorOverrides change(UnaryOperator<OperatorOverrides> change) throws IOException {
            return orders(kept.update(before -> bytes(change.apply(orders(before)))));
        }

        private OperatorOverrides orders(byte[] bytes) throws IOException {
            if (bytes == null) {
                return old == null ? OperatorOverrides.NONE : OperatorOverrides.read(old);
            }
            JsonNode whole = NodeConfig.JSON.readTree(bytes);
            if (whole.path("form").asInt() > FORM) {
                throw new IOException("orders of form " + whole.path("form").asInt()
                        + " are of a later version");
            }
            Set<String> out = new TreeSet<>();
            whole.path("out").forEach(id -> out.add(id.asText()));
            return new OperatorOverrides(out, whole.path("draining").asBoolean(),
                    whole.path("reloads").asLong());
        }

        private static byte[] bytes(OperatorOverrides orders) throws IOException {
            ObjectNode whole = NodeConfig.JSON.createObjectNode().put("form", FORM)
                    .put("draining", orders.draining()).put("reloads", orders.reloads());
            orders.disabledUpstreams().forEach(whole.putArray("out")::add);
            return NodeConfig.JSON.writeValueAsBytes(whole);
        }
    }
}
