package cranedeal.lab.link;

import cranedeal.lab.Echo;
import cranedeal.lab.Processes;
import cranedeal.lab.process.ProcessSupervisor;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures what a link adds to a round trip: lines of 200 bytes to another process and back, in alternating
 * rounds over a direct connection and over one through a link. Run by hand; prints microseconds.
 */
final class LinkBenchmark {

    private static final int ROUNDS = 20;
    private static final int TRIPS_PER_ROUND = 5_000;
    private static final byte[] LINE = ("z".repeat(199) + "\n").getBytes(StandardCharsets.ISO_8859_1);

    private LinkBenchmark() {
    }

    /** Takes no arguments. */
    public static void main(String[] args) throws Exception {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (AddressBlock addresses = AddressBlock.reserve();
                ProcessSupervisor supervisor = new ProcessSupervisor()) {
            Processes.start(supervisor, Echo.class, addresses.ip(1).getHostAddress(),
                    Integer.toString(AddressBlock.LISTEN_PORT));
            StreamLink link = new StreamLink(loops.next(), addresses.linkAddress(0, 1),
                    addresses.listenAddress(1),
                    addresses.ip(0), new SplittableRandom(1));
            link.setTargetUp(true).sync();
            Histogram direct = new Histogram(3);
            Histogram linked = new Histogram(3);
            for (int i = 0; i <= ROUNDS; i++) {
                // The first round is a warm-up and is not recorded.
                measureRoundTrips(addresses.listenAddress(1), i == 0 ? new Histogram(3) : direct);
                measureRoundTrips(link.address(), i == 0 ? new Histogram(3) : linked);
            }
            print("direct", direct);
            print("through a link", linked);
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static void measureRoundTrips(InetSocketAddress to, Histogram into) throws IOException {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            for (int i = 0; i < TRIPS_PER_ROUND; i++) {
                long start = System.nanoTime();
                socket.getOutputStream().write(LINE);
                in.readNBytes(LINE.length);
                into.recordValue((System.nanoTime() - start) / 1_000);
            }
        }
    }

    private static void print(String name, Histogram times) {
        System.out.printf(Locale.ROOT, "%-16s p50 %d us, p99 %d us, of %d trips%n", name,
                times.getValueAtPercentile(50), times.getValueAtPercentile(99), times.getTotalCount());
    }
}
