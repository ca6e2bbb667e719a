package cranedeal.lab.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cranedeal.lab.Echo;
import cranedeal.lab.Processes;
import cranedeal.lab.process.ChildProcess;
import cranedeal.lab.process.ProcessSupervisor;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests each fault of a link between this process and an echo server in another process. */
class StreamLinkTest {

    private static final int CLIENT = 0;
    private static final int SERVER = 1;
    private static final EventLoopGroup LOOPS = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private static AddressBlock addresses;
    private static ProcessSupervisor supervisor;
    private static ChildProcess echo;
    private StreamLink link;
    /**
     * A link to the same process that is never impaired; exchanges over it give the link under test time to
     * fail.
     */
    private StreamLink unimpairedLink;

    @BeforeAll
    static void startEcho() throws Exception {
        addresses = AddressBlock.reserve();
        supervisor = new ProcessSupervisor();
        echo = Processes.start(supervisor, Echo.class, addresses.ip(SERVER).getHostAddress(),
                Integer.toString(AddressBlock.LISTEN_PORT));
    }

    @AfterAll
    static void end() throws IOException {
        supervisor.close();
        addresses.close();
        LOOPS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @BeforeEach
    void openLinks() throws Exception {
        link = open(CLIENT);
        unimpairedLink = open(2);
    }

    @AfterEach
    void closeLinks() throws Exception {
        link.close().sync();
        unimpairedLink.close().sync();
    }

    private static StreamLink open(int from) throws Exception {
        StreamLink opened = new StreamLink(LOOPS.next(), addresses.linkAddress(from, SERVER),
                addresses.listenAddress(SERVER), addresses.ip(from), new SplittableRandom(1));
        opened.setTargetUp(true).sync();
        return opened;
    }

    /** A connection to the echo server. */
    private static final class EchoClient implements AutoCloseable {

        private final Socket socket;
        private final BufferedReader in;

        EchoClient(InetSocketAddress to) throws IOException {
            socket = new Socket(to.getAddress(), to.getPort());
            socket.setSoTimeout(60_000);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.ISO_8859_1));
        }

        void sendLine(String text) throws IOException {
            socket.getOutputStream().write((text + "\n").getBytes(StandardCharsets.ISO_8859_1));
        }

        String readLine() throws IOException {
            return in.readLine();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private void exchangeOverUnimpairedLink() throws IOException {
        try (EchoClient client = new EchoClient(unimpairedLink.address())) {
            for (int i = 0; i < 50; i++) {
                client.sendLine("meanwhile " + i);
                assertEquals("meanwhile " + i, client.readLine());
            }
        }
    }

    @Test
    void relaysBothDirectionsAndShowsTheTargetTheSourceAddress() throws Exception {
        try (EchoClient client = new EchoClient(link.address())) {
            client.sendLine("hello");
            assertEquals("hello", client.readLine());
            assertTrue(echo.logContains("from " + addresses.ip(CLIENT).getHostAddress()));
        }
    }

    @Test
    void blockedLinkDeliversHeldDataOnceUnblocked() throws Exception {
        try (EchoClient client = new EchoClient(link.address())) {
            client.sendLine("before");
            assertEquals("before", client.readLine());
            link.impair(Impairment.BLOCKED, Impairment.BLOCKED).sync();
            client.sendLine("held-1");
            client.sendLine("held-2");
            exchangeOverUnimpairedLink();
            assertFalse(echo.logContains("held-1"));
            link.impair(Impairment.NONE, Impairment.NONE).sync();
            assertEquals("held-1", client.readLine());
            assertEquals("held-2", client.readLine());
            client.sendLine("after");
            assertEquals("after", client.readLine());
        }
    }

    @Test
    void dataInTransitIsHeldBackWhenTheLinkIsBlocked() throws Exception {
        try (EchoClient client = new EchoClient(link.address())) {
            client.sendLine("first");
            assertEquals("first", client.readLine());
            Impairment slow = new Impairment(false, 100, 0, 0, 0, 0, 0);
            link.impair(slow, Impairment.NONE).sync();
            long start = System.nanoTime();
            client.sendLine("on-its-way");
            exchangeOverUnimpairedLink();
            link.impair(Impairment.BLOCKED, Impairment.NONE).sync();
            if (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(100)) {
                while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(300)) {
                    exchangeOverUnimpairedLink();
                }
                assertFalse(echo.logContains("on-its-way"));
            }
            link.impair(Impairment.NONE, Impairment.NONE).sync();
            assertEquals("on-its-way", client.readLine());
        }
    }

    @Test
    void noConnectionIsEstablishedWhileBlocked() throws Exception {
        link.impair(Impairment.BLOCKED, Impairment.BLOCKED).sync();
        try (SocketChannel connecting = SocketChannel.open()) {
            connecting.configureBlocking(false);
            connecting.connect(link.address());
            exchangeOverUnimpairedLink();
            assertFalse(connecting.finishConnect());
            link.impair(Impairment.NONE, Impairment.NONE).sync();
            Processes.awaitCondition(connecting::finishConnect);
        }
    }

    @Test
    void oneBlockedDirectionLetsTheOtherThrough() throws Exception {
        try (EchoClient client = new EchoClient(link.address())) {
            client.sendLine("known");
            assertEquals("known", client.readLine());
            link.impair(Impairment.NONE, Impairment.BLOCKED).sync();
            client.sendLine("only-there");
            Processes.awaitCondition(() -> echo.logContains("only-there"));
            exchangeOverUnimpairedLink();
            assertFalse(client.in.ready());
            link.impair(Impairment.NONE, Impairment.NONE).sync();
            assertEquals("only-there", client.readLine());
        }
    }

    @Test
    void resetsBothEnds() throws Exception {
        try (EchoClient client = new EchoClient(link.address())) {
            client.sendLine("to be reset");
            assertEquals("to be reset", client.readLine());
            link.reset().sync();
            assertThrows(SocketException.class, client::readLine);
            Processes.awaitCondition(() -> echo.logContains("broken: Connection reset"));
        }
    }

    @Test
    void refusesWhileTheTargetIsDown() throws Exception {
        link.setTargetUp(false).sync();
        assertThrows(ConnectException.class, () -> new EchoClient(link.address()));
        link.setTargetUp(true).sync();
        try (EchoClient client = new EchoClient(link.address())) {
            client.sendLine("back");
            assertEquals("back", client.readLine());
        }
    }

    @Test
    void delayAndRateLimitApply() throws Exception {
        try (EchoClient client = new EchoClient(link.address())) {
            link.impair(new Impairment(false, 60, 0, 0, 0, 0, 0),
                    new Impairment(false, 40, 0, 0, 0, 0, 100_000)).sync();
            long start = System.nanoTime();
            client.sendLine("x".repeat(9_999));
            assertEquals(9_999, client.readLine().length());
            // The minimum: two delays, and 10 kB at 100 kB/s.
            assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(200));
        }
    }

    @Test
    void endOfStreamIsDeliveredAfterTheData() throws Exception {
        try (EchoClient client = new EchoClient(link.address())) {
            link.impair(new Impairment(false, 30, 20, 0.3, 0, 0, 0), Impairment.NONE).sync();
            client.sendLine("last words");
            client.socket.shutdownOutput();
            assertEquals("last words", client.readLine());
            assertEquals(null, client.readLine());
        }
    }

    @Test
    void pausedProcessCausesBackpressureAndLosesNothing() throws Exception {
        try (SocketChannel channel = SocketChannel.open(link.address())) {
            echo.signal("STOP");
            channel.configureBlocking(false);
            ByteBuffer line = ByteBuffer.wrap(("y".repeat(8_191)
                    + "\n").getBytes(StandardCharsets.ISO_8859_1));
            long written = 0;
            // Backpressure must stop the sender before the lab's memory fills up.
            for (int fullWrites = 0; fullWrites < 100;) {
                int writtenNow = channel.write(line);
                written += writtenNow;
                if (!line.hasRemaining()) {
                    line.rewind();
                }
                if (writtenNow == 0) {
                    fullWrites++;
                    pause();
                }
                assertTrue(written < 256L * 1024 * 1024, "no backpressure reaches the sender");
            }
            echo.signal("CONT");
            channel.configureBlocking(true);
            channel.shutdownOutput();
            long read = 0;
            ByteBuffer in = ByteBuffer.allocate(1 << 16);
            for (int count = channel.read(in); count >= 0; count = channel.read(in.clear())) {
                read += count;
            }
            // The last line may be incomplete; the echo server then completes it with a line end.
            assertEquals(written % 8_192 == 0 ? written : written + 1, read);
        } finally {
            echo.signal("CONT");
        }
    }

    @Test
    void slowReaderReceivesAllDataAfterTheStreamEnds() throws Exception {
        byte[] bytes = new byte[8 << 20];
        InetSocketAddress target = addresses.listenAddress(3);
        try (ServerSocket server = new ServerSocket(target.getPort(), 1, target.getAddress())) {
            StreamLink endingLink = new StreamLink(LOOPS.next(), addresses.linkAddress(CLIENT, 3), target,
                    addresses.ip(CLIENT), new SplittableRandom(1));
            endingLink.setTargetUp(true).sync();
            try (Socket reader = new Socket()) {
                reader.setReceiveBufferSize(4_096);
                reader.setSoTimeout(60_000);
                reader.connect(endingLink.address());
                Thread writer = new Thread(() -> send(server, bytes));
                writer.start();
                InputStream in = reader.getInputStream();
                long read = 0;
                int piece;
                while ((piece = in.readNBytes(1 << 16).length) > 0) {
                    read += piece;
                    pause();
                }
                reader.shutdownOutput();
                writer.join();
                assertEquals(bytes.length, read);
            } finally {
                endingLink.close().sync();
            }
        }
    }

    private static void send(ServerSocket server, byte[] bytes) {
        try (Socket accepted = server.accept()) {
            accepted.getOutputStream().write(bytes);
            accepted.shutdownOutput();
            accepted.getInputStream().read();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void pause() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(2);
    }
}
