package cranedeal.fleet.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import cranedeal.fleet.config.Coordinator;
import cranedeal.fleet.membership.FleetMember;
import cranedeal.fleet.membership.Member;
import cranedeal.fleet.membership.Settings;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a coordinator, a process that stores the configuration of a fleet. */
@Command(name = "coordinator", mixinStandardHelpOptions = true,
        description = "Runs one of the processes, usually three, that store the configuration of a fleet."
                + " SIGTERM ends it.")
public final class CoordinatorCommand implements Role, Callable<Integer> {

    private static final Set<String> KEYS = Set.of("fleet", "name", "listen", "advertise", "peers",
            "state_dir", "zone", "probe_period_ms");
    private static final double DEFAULT_PROBE_PERIOD_MS = 1_000;

    @Option(names = "--config", paramLabel = "FILE", description = "A JSON file with fleet, name, listen,"
            + " advertise, peers, state_dir, zone, probe_period_ms. Options override it.")
    private Path file;
    @Option(names = "--fleet", paramLabel = "NAME", description = "The fleet's name.")
    private String fleet;
    @Option(names = "--name", paramLabel = "NAME", description = "This coordinator's name in the fleet.")
    private String name;
    @Option(names = "--listen", paramLabel = "ADDRESS",
            description = "Where it listens, such as 127.0.0.1:9301.")
    private String listen;
    @Option(names = "--advertise", paramLabel = "ADDRESS",
            description = "Where the others reach it; same as --listen if not given.")
    private String advertise;
    @Option(names = "--peers", paramLabel = "ADDRESS", split = ",",
            description = "Where all coordinators are reached, with or without this one; the same for each.")
    private List<String> peers;
    @Option(names = "--state-dir", paramLabel = "FOLDER", description = "Where it stores its state.")
    private Path stateDir;
    @Option(names = "--zone", paramLabel = "NAME",
            description = "The zone it runs in; balancers of that zone ask it first.")
    private String zone;

    @Override
    public Integer call() throws CommandException, InterruptedException {
        JsonNode config = readFile();
        String ownName = setting(config, "name", name, null);
        InetSocketAddress listenAddress = parseAddress("listen", setting(config, "listen", listen, null));
        InetSocketAddress advertisedAddress = parseAddress("advertise", setting(config, "advertise",
                advertise, listenAddress.getAddress().getHostAddress() + ":" + listenAddress.getPort()));
        List<InetSocketAddress> peerAddresses = new ArrayList<>();
        List<String> configuredPeers = new ArrayList<>();
        config.path("peers").forEach(peer -> configuredPeers.add(peer.asText()));
        for (String peer : peers == null ? configuredPeers : peers) {
            peerAddresses.add(parseAddress("peers", peer));
        }
        if (peerAddresses.isEmpty()) {
            throw usageError("peers is missing");
        }
        String version = Program.class.getPackage().getImplementationVersion();
        Coordinator coordinator;
        try {
            Settings settings = new Settings(config.path("probe_period_ms").asDouble(DEFAULT_PROBE_PERIOD_MS),
                    Settings.DEFAULTS.forgetMs(), Settings.DEFAULTS.maxMembers(), true, true);
            String fleetName = setting(config, "fleet", fleet, null);
            Member.requireName(fleetName);
            Member.requireName(ownName);
            String zoneName = setting(config, "zone", zone, "");
            if (!zoneName.isEmpty()) {
                Member.requireName(zoneName);
            }
            Path folder = Path.of(setting(config, "state_dir", stateDir == null ? null : stateDir.toString(),
                    null));
            coordinator = new Coordinator(new FleetMember.Config(fleetName, ownName, listenAddress,
                    advertisedAddress, peerAddresses, Coordinator.ROLE,
                    version == null ? "unpacked" : version, settings,
                    new SecureRandom().nextLong()), peerAddresses, zoneName, folder);
        } catch (IllegalArgumentException e) {
            throw usageError(e.getMessage());
        } catch (IOException e) {
            throw new CommandException(1, "cannot use state_dir: " + e.getMessage());
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                coordinator.close();
            } catch (IOException e) {
                System.err.println("sablehinge: " + e.getMessage());
            }
        }, "end"));
        coordinator.start();
        // All other threads are daemons, so the process ends once the shutdown hook has run.
        new CountDownLatch(1).await();
        return 0;
    }

    private CommandException usageError(String reason) {
        return new CommandException(Program.USAGE_ERROR, (file == null ? "" : file + ": ") + reason);
    }

    private JsonNode readFile() throws CommandException {
        JsonMapper json = new JsonMapper();
        if (file == null) {
            return json.createObjectNode();
        }
        try {
            JsonNode config = json.readTree(file.toFile());
            if (config == null || !config.isObject()) {
                throw usageError("the file must hold a JSON object");
            }
            for (String key : (Iterable<String>) config::fieldNames) {
                if (!KEYS.contains(key)) {
                    throw usageError(key + " is not a known key");
                }
            }
            return config;
        } catch (IOException e) {
            throw new CommandException(Program.USAGE_ERROR, "cannot read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * The value of the option, else of the file, else the default. A null default means that it is required.
     */
    private String setting(JsonNode config, String key, String option, String defaultValue)
            throws CommandException {
        String value = option != null ? option : config.path(key).asText(defaultValue == null ? ""
                : defaultValue);
        if (value.isEmpty() && defaultValue == null) {
            throw usageError(key + " is missing");
        }
        return value;
    }

    private InetSocketAddress parseAddress(String key, String text) throws CommandException {
        int colon = text.lastIndexOf(':');
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
        try {
            if (ip != null && InetAddress.getByAddress(ip).isLoopbackAddress()) {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (port > 0) {
                    return new InetSocketAddress(InetAddress.getByAddress(ip), port);
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            throw usageError(key + ": '" + text + "' is not an address with a port");
        }
        throw usageError(key + ": '" + text + "' is not a loopback address with a port");
    }
}
