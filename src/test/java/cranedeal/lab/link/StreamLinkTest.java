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

/** Each fault of a link, on this process and another with a link between them. */
class StreamLinkTest {

    private static final int HERE = 0;
    private static final int THERE = 1;
    private static final EventLoopGroup LOOPS = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private static AddressBlock addresses;
    private static ProcessSupervisor warden;
    private static ChildProcess echo;
    private StreamLink link;
    /** A second way to the same process, in order at all times: what goes through it takes time. */
    private StreamLink other;

    @BeforeAll
    static void startEcho() throws Exception {
        addresses = AddressBlock.reserve();
        warden = new ProcessSupervisor();
        echo = Processes.start(warden, Echo.class, addresses.ip(THERE).getHostAddress(),
                Integer.toString(AddressBlock.LISTEN_PORT));
    }

    @AfterAll
    static void end() throws IOException {
        warden.close();
        addresses.close();
        LOOPS.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @BeforeEach
    void openLinks() throws Exception {
        link = open(HERE);
        other = open(2);
    }

    @AfterEach
    void closeLinks() throws Exception {
        link.close().sync();
        other.close().sync();
    }

    private static StreamLink open(int from) throws Exception {
        StreamLink opened = new StreamLink(LOOPS.next(), addresses.linkAddress(from, THERE),
                addresses.listenAddress(THERE),
                addresses.ip(from), new SplittableRandom(1));
        opened.setTargetUp(true).sync();
        return opened;
    }

    /** A connection of this process. */
    private static final class Line implements AutoCloseable {

        private final Socket socket;
        private final BufferedReader in;

        Line(InetSocketAddress to) throws IOException {
            socket = new Socket(to.getAddress(), to.getPort());
            socket.setSoTimeout(60_000);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(),
                    StandardCharsets.ISO_8859_1));
        }

        void say(String text) throws IOException {
            socket.getOutputStream().write((text + "\n").getBytes(StandardCharsets.ISO_8859_1));
        }

        String hear() throws IOException {
            return in.readLine();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private void letOthersTalk() throws IOException {
        try (Line line = new Line(other.address())) {
            for (int i = 0; i < 50; i++) {
                line.say("meanwhile " + i);
                assertEquals("meanwhile " + i, line.hear());
            }
        }
    }

    @Test
    void carriesBothWaysAndTellsTheTargetWhoCalls() throws Exception {
        try (Line line = new Line(link.address())) {
            line.say("hello");
            assertEquals("hello", line.hear());
            assertTrue(echo.logContains("from " + addresses.ip(HERE).getHostAddress()));
        }
    }

    @Test
    void holdsBackWhileSilentAndDeliversOnceAfterwards() throws Exception {
        try (Line line = new Line(link.address())) {
            line.say("before");
            assertEquals("before", line.hear());
            link.impair(Impairment.BLOCKED, Impairment.BLOCKED).sync();
            line.say("held-1");
            line.say("held-2");
            letOthersTalk();
            assertFalse(echo.logContains("held-1"));
            link.impair(Impairment.NONE, Impairment.NONE).sync();
            assertEquals("held-1", line.hear());
            assertEquals("held-2", line.hear());
            line.say("after");
            assertEquals("after", line.hear());
        }
    }

    @Test
    void whatIsOnItsWayWhenALinkIsCutIsHeldBackToo() throws Exception {
        try (Line line = new Line(link.address())) {
            line.say("first");
            assertEquals("first", line.hear());
            Impairment slow = new Impairment(false, 100, 0, 0, 0, 0, 0);
            link.impair(slow, Impairment.NONE).sync();
            long start = System.nanoTime();
            line.say("on-its-way");
            letOthersTalk();
            link.impair(Impairment.BLOCKED, Impairment.NONE).sync();
            if (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(100)) {
                while (System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(300)) {
                    letOthersTalk();
                }
                assertFalse(echo.logContains("on-its-way"));
            }
            link.impair(Impairment.NONE, Impairment.NONE).sync();
            assertEquals("on-its-way", line.hear());
        }
    }

    @Test
    void letsNoConnectionComeUpWhileSilent() throws Exception {
        link.impair(Impairment.BLOCKED, Impairment.BLOCKED).sync();
        try (SocketChannel late = SocketChannel.open()) {
            late.configureBlocking(false);
            late.connect(link.address());
            letOthersTalk();
            assertFalse(late.finishConnect());
            link.impair(Impairment.NONE, Impairment.NONE).sync();
            Processes.until(late::finishConnect);
        }
    }

    @Test
    void aOneWayCutLetsTheOtherWayThrough() throws Exception {
        try (Line line = new Line(link.address())) {
            line.say("known");
            assertEquals("known", line.hear());
            link.impair(Impairment.NONE, Impairment.BLOCKED).sync();
            line.say("only-there");
            Processes.until(() -> echo.logContains("only-there"));
            letOthersTalk();
            assertFalse(line.in.ready());
            link.impair(Impairment.NONE, Impairment.NONE).sync();
            assertEquals("only-there", line.hear());
        }
    }

    @Test
    void resetsBothEnds() throws Exception {
        try (Line line = new Line(link.address())) {
            line.say("to be reset");
            assertEquals("to be reset", line.hear());
            link.reset().sync();
            assertThrows(SocketException.class, line::hear);
            Processes.until(() -> echo.logContains("broken: Connection reset"));
        }
    }

    @Test
    void refusesWhileTheTargetIsDown() throws Exception {
        link.setTargetUp(false).sync();
        assertThrows(ConnectException.class, () -> new Line(link.address()));
        link.setTargetUp(true).sync();
        try (Line line = new Line(link.address())) {
            line.say("back");
            assertEquals("back", line.hear());
        }
    }

    @Test
    void takesItsTimeWhereTheLinkIsSlow() throws Exception {
        try (Line line = new Line(link.address())) {
            link.impair(new Impairment(false, 60, 0, 0, 0, 0, 0),
                    new Impairment(false, 40, 0, 0, 0, 0, 100_000)).sync();
            long start = System.nanoTime();
            line.say("x".repeat(9_999));
            assertEquals(9_999, line.hear().length());
            // Never sooner: two delays, and 10 kB at 100 kB/s.
            assertTrue(System.nanoTime() - start >= TimeUnit.MILLISECONDS.toNanos(200));
        }
    }

    @Test
    void passesTheEndOfAStreamOnBehindItsBytes() throws Exception {
        try (Line line = new Line(link.address())) {
            link.impair(new Impairment(false, 30, 20, 0.3, 0, 0, 0), Impairment.NONE).sync();
            line.say("last words");
            line.socket.shutdownOutput();
            assertEquals("last words", line.hear());
            assertEquals(null, line.hear());
        }
    }

    @Test
    void aPausedProcessFillsBuffersAndLosesNothing() throws Exception {
        try (SocketChannel channel = SocketChannel.open(link.address())) {
            echo.signal("STOP");
            channel.configureBlocking(false);
            ByteBuffer line = ByteBuffer.wrap(("y".repeat(8_191)
                    + "\n").getBytes(StandardCharsets.ISO_8859_1));
            long written = 0;
            // The sender is stopped, not the lab's memory filled.
            for (int full = 0; full < 100;) {
                int now = channel.write(line);
                written += now;
                if (!line.hasRemaining()) {
                    line.rewind();
                }
                if (now == 0) {
                    full++;
                    letNothingHappen();
                }
                assertTrue(written < 256L * 1024 * 1024, "nothing stops the sender");
            }
            echo.signal("CONT");
            channel.configureBlocking(true);
            channel.shutdownOutput();
            long read = 0;
            ByteBuffer in = ByteBuffer.allocate(1 << 16);
            for (int count = channel.read(in); count >= 0; count = channel.read(in.clear())) {
                read += count;
            }
            // The last line may have been cut short; the echo ends it.
            assertEquals(written % 8_192 == 0 ? written : written + 1, read);
        } finally {
            echo.signal("CONT");
        }
    }

    @Test
    void keepsWhatASlowReaderHasNotTakenWhenTheStreamEnds() throws Exception {
        byte[] bytes = new byte[8 << 20];
        InetSocketAddress target = addresses.listenAddress(3);
        try (ServerSocket server = new ServerSocket(target.getPort(), 1, target.getAddress())) {
            StreamLink ending = new StreamLink(LOOPS.next(), addresses.linkAddress(HERE, 3), target,
                    addresses.ip(HERE), new SplittableRandom(1));
            ending.setTargetUp(true).sync();
            try (Socket reader = new Socket()) {
                reader.setReceiveBufferSize(4_096);
                reader.setSoTimeout(60_000);
                reader.connect(ending.address());
                Thread writer = new Thread(() -> send(server, bytes));
                writer.start();
                InputStream in = reader.getInputStream();
                long read = 0;
                int piece;
                while ((piece = in.readNBytes(1 << 16).length) > 0) {
                    read += piece;
                    letNothingHappen();
                }
                reader.shutdownOutput();
                writer.join();
                assertEquals(bytes.length, read);
            } finally {
                ending.close().sync();
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

    private static void letNothingHappen() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(2);
    }
}
