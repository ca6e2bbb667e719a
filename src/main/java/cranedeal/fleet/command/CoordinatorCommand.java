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
    private static final double USUAL_PERIOD_MS = 1_000;

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
        JsonNode given = read();
        String own = text(given, "name", name, null);
        InetSocketAddress at = address("listen", text(given, "listen", listen, null));
        InetSocketAddress reached = address("advertise", text(given, "advertise", advertise,
                at.getAddress().getHostAddress() + ":" + at.getPort()));
        List<InetSocketAddress> others = new ArrayList<>();
        List<String> named = new ArrayList<>();
        given.path("peers").forEach(peer -> named.add(peer.asText()));
        for (String peer : peers == null ? named : peers) {
            others.add(address("peers", peer));
        }
        if (others.isEmpty()) {
            throw wrong("peers is missing");
        }
        String version = Program.class.getPackage().getImplementationVersion();
        Coordinator coordinator;
        try {
            Settings settings = new Settings(given.path("probe_period_ms").asDouble(USUAL_PERIOD_MS),
                    Settings.DEFAULTS.forgetMs(), Settings.DEFAULTS.maxMembers(), true, true);
            String of = text(given, "fleet", fleet, null);
            Member.requireName(of);
            Member.requireName(own);
            String where = text(given, "zone", zone, "");
            if (!where.isEmpty()) {
                Member.requireName(where);
            }
            Path folder = Path.of(text(given, "state_dir", stateDir == null ? null : stateDir.toString(),
                    null));
            coordinator = new Coordinator(new FleetMember.Config(of, own, at, reached, others,
                    Coordinator.ROLE, version == null ? "unpacked" : version, settings,
                    new SecureRandom().nextLong()), others, where, folder);
        } catch (IllegalArgumentException e) {
            throw wrong(e.getMessage());
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

    private CommandException wrong(String why) {
        return new CommandException(Program.USAGE_ERROR, (file == null ? "" : file + ": ") + why);
    }

    private JsonNode read() throws CommandException {
        JsonMapper json = new JsonMapper();
        if (file == null) {
            return json.createObjectNode();
        }
        try {
            JsonNode given = json.readTree(file.toFile());
            if (given == null || !given.isObject()) {
                throw wrong("the file must hold a JSON object");
            }
            for (String key : (Iterable<String>) given::fieldNames) {
                if (!KEYS.contains(key)) {
                    throw wrong(key + " is not a known key");
                }
            }
            return given;
        } catch (IOException e) {
            throw new CommandException(Program.USAGE_ERROR, "cannot read " + file + ": "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
    }

    /**
     * The value of the option, else of the file, else the default. A null default means that it is required.
     */
    private String text(JsonNode given, String key, String flag, String usual) throws CommandException {
        String value = flag != null ? flag : given.path(key).asText(usual == null ? "" : usual);
        if (value.isEmpty() && usual == null) {
            throw wrong(key + " is missing");
        }
        return value;
    }

    private InetSocketAddress address(String key, String text) throws CommandException {
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
            throw wrong(key + ": '" + text + "' is not an address with a port");
        }
        throw wrong(key + ": '" + text + "' is not a loopback address with a port");
    }
}
