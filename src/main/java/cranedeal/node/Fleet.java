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
        String serveHelp = "Runs one balancer; PROXY_CONFIG names its configuration.";
        String wireHelp = "Hosts the decision code for the simulator.";
        return Program.run(Map.of("serve", new Program.SuppliedCommand(serveHelp, serve),
                "wire", new Program.SuppliedCommand(wireHelp, wire)), args);
    }

    /**
     * Opens a store of overrides in a folder of the configuration; it survives a power loss.
     *
     * @param legacyFolder the folder that held the overrides before, from which they are migrated once; may
     *     be null
     */
    static OverrideStore overrideStore(Path folder, Path legacyFolder) {
        return new StoredOverrides(folder, legacyFolder);
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
     * @param listener receives the published sections, if the configuration names a service
     */
    static MembershipHandle join(NodeConfig config, PublishedConfigListener listener) {
        FleetConfig fleet = config.fleet();
        Package program = Program.class.getPackage();
        String version = program.getImplementationVersion();
        DurableValue peers = fleet.stateDir() == null ? null : new DurableValue(fleet.stateDir(),
                Node.LOG::warning);
        FleetMember member = new FleetMember(new FleetMember.Config(fleet.name(), config.name(),
                fleet.listen(), fleet.advertise(), fleet.seeds(), "serve",
                version == null ? "unpacked" : version,
                new Settings(fleet.periodMs(), Settings.DEFAULTS.forgetMs(), MAX_MEMBERS, true, true),
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
        if (fleet.service() != null) {
            new ConfigMember(member, ConfigFollower.Settings.defaults(fleet.service(), fleet.zone()),
                    fleet.stateDir() == null ? ConfigMember.StateStore.NONE
                    : new StoredConfig(fleet.stateDir()),
                    section -> applySection(section, listener), new SecureRandom().nextLong());
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

    private static void applySection(byte[] section, PublishedConfigListener listener)
            throws ConfigMember.RefusedException {
        try {
            listener.apply(section == null ? null : NodeConfig.JSON.readTree(section));
        } catch (ConfigException e) {
            Matcher keyMatcher = KEY.matcher(e.getMessage());
            String key = !keyMatcher.find() ? ""
                    : keyMatcher.group(1) != null ? "settings." + keyMatcher.group(1)
                    : keyMatcher.group(2);
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
            JsonNode root = NodeConfig.JSON.readTree(bytes);
            if (root.path("form").asInt() > FORMAT_VERSION) {
                throw new IOException("operator overrides of format " + root.path("form").asInt()
                        + " were written by a later version");
            }
            Set<String> disabledUpstreams = new TreeSet<>();
            root.path("out").forEach(id -> disabledUpstreams.add(id.asText()));
            return new OperatorOverrides(disabledUpstreams, root.path("draining").asBoolean(),
                    root.path("reloads").asLong());
        }

        private static byte[] encode(OperatorOverrides overrides) throws IOException {
            ObjectNode root = NodeConfig.JSON.createObjectNode().put("form", FORMAT_VERSION)
                    .put("draining", overrides.draining()).put("reloads", overrides.reloads());
            overrides.disabledUpstreams().forEach(root.putArray("out")::add);
            return NodeConfig.JSON.writeValueAsBytes(root);
        }
    }
}
