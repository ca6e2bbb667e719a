package cranedeal.lab.standin;

import cranedeal.lab.history.Effect;
import cranedeal.lab.history.Event;
import cranedeal.lab.link.AddressBlock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Measures how many requests per second one load generator can send on time: clients connect directly to a
 * fast upstream at increasing rates. Run by hand.
 */
final class LoadBenchmark {

    private static final int SECONDS = 4;

    private LoadBenchmark() {
    }

    /** Takes no arguments. */
    public static void main(String[] args) throws Exception {
        for (int rate = 5_000; rate <= 40_000; rate += 5_000) {
            measure(rate);
        }
    }

    private static void measure(int rate) throws Exception {
        EventLoopGroup clientLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoopGroup serverLoop = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        AtomicLong served = new AtomicLong();
        AtomicLong other = new AtomicLong();
        try (AddressBlock addresses = AddressBlock.reserve()) {
            LabClock clock = new LabClock();
            UpstreamServer server = new UpstreamServer("u0",
                    new UpstreamKind("k", 1, 256, 1_000, 100_000, 1, 0, 0, 100_000), serverLoop.next(), clock,
                    new SplittableRandom(1), address -> "n0", event -> { }, new SeenKeys(4_000));
            server.bind(addresses.listenAddress(1));
            var front = new Front(clientLoop.next(), List.of(new Front.Backend("n0",
                    addresses.listenAddress(1))),
                    1_000);
            front.take("n0", true);
            Load load = new Load(rate, 2_000, SECONDS * 1_000, List.of(new ServiceClass("look-up",
                    Effect.IDEMPOTENT, 1, 1, 500, 2_000, 1)), Map.of(), List.of(), 1, 100, 5_000, 4_096);
            Clients clients = new Clients(clientLoop.next(), front, load, clock, new SplittableRandom(1),
                    event -> {
                        if (event instanceof Event.Ended ended) {
                            (ended.end() == Event.End.SERVED ? served : other).incrementAndGet();
                        }
                    });
            clients.start();
            clients.done().get(2, TimeUnit.MINUTES);
            System.out.printf(Locale.ROOT, "%d a second: late p50 %.1f ms, p99 %.1f ms; %d served, %d not%n",
                    rate, clients.lateness().getValueAtPercentile(50) / 1e3,
                    clients.lateness().getValueAtPercentile(99) / 1e3, served.get(), other.get());
            server.close();
        } finally {
            clientLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            serverLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
