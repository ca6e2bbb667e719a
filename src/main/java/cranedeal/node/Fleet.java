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
 * The only class of this package that uses the fleet packages. It is loaded only if a fleet or a state folder
 * is configured or another subcommand is run, so that a plain balancer starts fast and uses little memory.
 */
final class Fleet {

    /** The maximum number of fleet members that a balancer keeps track of; they fit easily in its memory. */
    private static final int MAX_MEMBERS = 2_000;
    /** Finds the key in the error message of an invalid configuration. */
    private static final Pattern KEY = Pattern.compile("\\bsetting ([\\w.]+) |"
            + "\\b(discovery|settings[\\w.]*)");

    private Fleet() {
    }

    /** Runs the command line, to which {@code serve} and {@code wire} are added. */
    static int run(Callable<Integer> serve, Callable<Integer> wire, String... args) {
        String serves = "Runs one balancer; PROXY_CONFIG names its configuration.";
        String hosts = "Hosts the decision code for the simulator.";
        return Program.run(Map.of("serve", new Program.SuppliedCommand(serves, serve),
                "wire", new Program.SuppliedCommand(hosts, wire)), args);
    }

    /**
     * Opens a store of overrides in a folder of the configuration; it survives a power loss.
     *
     * @param old the folder that held the overrides before, from which they are migrated once; may be null
     */
    static OverrideStore overrideStore(Path folder, Path old) {
        return new StoredOverrides(folder, old);
    }

    /** Throws {@link IllegalArgumentException} for an invalid name of a fleet or member. */
    static void requireName(String name) {
        Member.requireName(name);
    }

    /** Receives the configuration section that the fleet publishes for a balancer's service. */
    interface PublishedConfigListener {

        /**
         * Applies a section; null removes it. Throws {@link ConfigException} if invalid, without any change.
         */
        void apply(JsonNode section) throws ConfigException, InterruptedException;
    }

    /**
     * Makes this process a member of the configured fleet.
     *
     * @param to receives the published sections, if the configuration names a service
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
                new Settings(given.periodMs(), Settings.DEFAULTS.forgetMs(), MAX_MEMBERS, true, true),
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
                    : new StoredConfig(given.stateDir()),
                    section -> applySection(section, to), new SecureRandom().nextLong());
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

    private static void applySection(byte[] section, PublishedConfigListener to)
            throws ConfigMember.RefusedException {
        try {
            to.apply(section == null ? null : NodeConfig.JSON.readTree(section));
        } catch (ConfigException e) {
            Matcher named = KEY.matcher(e.getMessage());
            String key = !named.find() ? "" : named.group(1) != null ? "settings." + named.group(1)
                    : named.group(2);
            throw new ConfigMember.RefusedException(key, e.getMessage());
        } catch (IOException e) {
            throw new ConfigMember.RefusedException("", "it is not valid JSON: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConfigMember.RefusedException("", "interrupted");
        }
    }

    /** Stores the configuration that a member has in force. */
    private static final class StoredConfig implements ConfigMember.StateStore {

        private final DurableValue store;

        StoredConfig(Path stateDir) {
            store = new DurableValue(stateDir.resolve("config"), Node.LOG::warning);
        }

        @Override
        public byte[] read() throws IOException {
            return store.read();
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            store.update(before -> bytes);
        }
    }

    /** Stores the overrides: each record holds all of them, and the last record is the current one. */
    private static final class StoredOverrides implements OverrideStore {

        private static final int FORMAT_VERSION = 1;

        private final DurableValue store;
        private final Path legacyFolder;

        StoredOverrides(Path folder, Path old) {
            store = new DurableValue(folder, Node.LOG::warning);
            this.legacyFolder = old;
        }

        @Override
        public OperatorOverrides read() throws IOException {
            return decode(store.read());
        }

        @Override
        public OperatorOverrides change(UnaryOperator<OperatorOverrides> change) throws IOException {
            return decode(store.update(before -> encode(change.apply(decode(before)))));
        }

        private OperatorOverrides decode(byte[] bytes) throws IOException {
            if (bytes == null) {
                return legacyFolder == null ? OperatorOverrides.NONE : OperatorOverrides.read(legacyFolder);
            }
            JsonNode whole = NodeConfig.JSON.readTree(bytes);
            if (whole.path("form").asInt() > FORMAT_VERSION) {
                throw new IOException("operator overrides of format " + whole.path("form").asInt()
                        + " were written by a later version");
            }
            Set<String> out = new TreeSet<>();
            whole.path("out").forEach(id -> out.add(id.asText()));
            return new OperatorOverrides(out, whole.path("draining").asBoolean(),
                    whole.path("reloads").asLong());
        }

        private static byte[] encode(OperatorOverrides orders) throws IOException {
            ObjectNode whole = NodeConfig.JSON.createObjectNode().put("form", FORMAT_VERSION)
                    .put("draining", orders.draining()).put("reloads", orders.reloads());
            orders.disabledUpstreams().forEach(whole.putArray("out")::add);
            return NodeConfig.JSON.writeValueAsBytes(whole);
        }
    }
}
