package cranedeal.lab.hollow;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.sun.management.OperatingSystemMXBean;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import cranedeal.fleet.membership.FleetMember;
import cranedeal.fleet.membership.Settings;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The process that runs many hollow balancers. The lab calls it over HTTP: {@code /window} returns the
 * resource use since the last such call, {@code /memory} the heap in use after a garbage collection,
 * {@code /views} the views of the named balancers; {@code /start}, {@code /kill} and {@code /leave} act on
 * the named balancers. One thread answers all calls in order and also takes the readings.
 */
public final class HollowProcess {

    private static final JsonMapper JSON = new JsonMapper();
    /** The maximum number of other members that a balancer knows, as in production. */
    private static final int MAX_MEMBERS = 2_000;
    private static final double NANOS_PER_MS = 1e6;

    /**
     * A summary of how some balancers see the fleet.
     *
     * @param running how many of them are running
     * @param least the minimum number of present members that one of them sees, with itself; 0 if none runs
     * @param most the maximum number that one of them sees
     * @param listed the oldest version of discovery's list among them; 0 if one has no list
     */
    public record Views(int running, long least, long most, long listed) { }

    private final Map<String, HollowBalancer> balancers = new LinkedHashMap<>();
    private final Meter meter = new Meter();
    private final List<LoopClock> clocks = new ArrayList<>();
    private final ScheduledExecutorService turns = Executors.newSingleThreadScheduledExecutor(
            new DefaultThreadFactory("control", true));

    private HollowProcess(HollowConfig config) {
        EventLoopGroup members = loops("member", config.loops());
        members.forEach(loop -> clocks.add(new LoopClock((EventLoop) loop)));
        EventLoop watching = loops("discovery", 1).next();
        ExecutorService disk = Executors.newSingleThreadExecutor(
                new DefaultThreadFactory("member-disk", true));
        List<InetSocketAddress> seeds = config.seeds().stream().map(HollowProcess::address).toList();
        SecureRandom random = new SecureRandom();
        for (HollowConfig.Balancer one : config.balancers()) {
            FleetMember.Config its = new FleetMember.Config(config.fleet(), one.name(),
                    address(one.listen()), address(one.advertise()), seeds, "serve", "hollow",
                    new Settings(config.periodMs(), Settings.DEFAULTS.forgetMs(), MAX_MEMBERS, true, true),
                    0);
            balancers.put(one.name(), new HollowBalancer(its,
                    one.config() == null ? null : Path.of(one.config()), members.next(), watching, disk,
                    random::nextLong));
        }
    }

    /** The argument is the file of a {@link HollowConfig}; prints {@code ready} once it accepts calls. */
    public static void main(String[] args) throws IOException {
        HollowConfig config = JSON.readValue(Path.of(args[0]).toFile(), HollowConfig.class);
        new HollowProcess(config).serve(address(config.control()));
        System.out.println("ready");
    }

    private static EventLoopGroup loops(String name, int count) {
        return new MultiThreadIoEventLoopGroup(count, new DefaultThreadFactory(name, true),
                NioIoHandler.newFactory());
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address with a port", e);
        }
    }

    private void serve(InetSocketAddress control) throws IOException {
        turns.scheduleAtFixedRate(this::sample, 1, 1, TimeUnit.SECONDS);
        HttpServer server = HttpServer.create(control, 0);
        server.setExecutor(turns);
        server.createContext("/", this::call);
        server.start();
    }

    private void sample() {
        Map<String, Meter.Reading> readings = new HashMap<>();
        for (HollowBalancer balancer : balancers.values()) {
            Map<String, Long> figures = balancer.metrics();
            if (!figures.isEmpty()) {
                readings.put(balancer.name(), Meter.Reading.of(figures));
            }
        }
        meter.sample(readings, ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime() / NANOS_PER_MS,
                clocks.stream().mapToDouble(LoopClock::takeMostLateMs).max().orElse(0));
    }

    /** Measures the delay of an event loop's timers, because all balancers of a loop share its time. */
    private static final class LoopClock {

        private static final long EVERY_MS = 20;

        private long due;
        private volatile double mostLateMs;

        LoopClock(EventLoop loop) {
            loop.execute(() -> {
                due = System.nanoTime();
                next(loop);
            });
        }

        private void next(EventLoop loop) {
            due = Math.max(System.nanoTime(), due) + TimeUnit.MILLISECONDS.toNanos(EVERY_MS);
            loop.schedule(() -> {
                mostLateMs = Math.max(mostLateMs, (System.nanoTime() - due) / NANOS_PER_MS);
                next(loop);
            }, due - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        /** Returns the maximum since the previous call; a value may get lost between read and reset. */
        double takeMostLateMs() {
            double most = mostLateMs;
            mostLateMs = 0;
            return most;
        }
    }

    private void call(HttpExchange call) throws IOException {
        Object answer;
        int status = 200;
        try {
            answer = answer(call.getRequestURI().getPath(), call.getRequestBody().readAllBytes());
        } catch (IOException | IllegalArgumentException e) {
            answer = Map.of("error", String.valueOf(e.getMessage()));
            status = 400;
        }
        byte[] bytes = JSON.writeValueAsBytes(answer);
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    private Object answer(String path, byte[] body) throws IOException {
        switch (path) {
            case "/window":
                return meter.window();
            case "/memory":
                System.gc();
                return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
            case "/views":
                return views(named(body));
            case "/start":
                for (HollowBalancer one : named(body)) {
                    one.start();
                }
                return true;
            case "/kill":
                named(body).forEach(HollowBalancer::kill);
                return true;
            case "/leave":
                named(body).forEach(HollowBalancer::leave);
                return true;
            default:
                throw new IllegalArgumentException(path + " is not a known call");
        }
    }

    /** Returns the named balancers that belong to this process. */
    private Collection<HollowBalancer> named(byte[] body) throws IOException {
        List<String> names = JSON.readValue(body, new TypeReference<List<String>>() { });
        return names.stream().filter(balancers::containsKey).map(balancers::get).toList();
    }

    private static Views views(Collection<HollowBalancer> of) {
        List<HollowBalancer> running = of.stream().filter(HollowBalancer::isRunning).toList();
        return new Views(running.size(),
                running.stream().mapToLong(HollowProcess::present).min().orElse(0),
                running.stream().mapToLong(HollowProcess::present).max().orElse(0),
                running.stream().mapToLong(HollowBalancer::listVersion).min().orElse(0));
    }

    private static long present(HollowBalancer balancer) {
        return balancer.metrics().getOrDefault("fleet.members", 0L);
    }
}
