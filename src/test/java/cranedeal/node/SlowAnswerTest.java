package cranedeal.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The program as a process, with long answers that upstreams write slowly, in all framings. {@code -Dseed=N}
 * changes the draw.
 */
@Timeout(120)
class SlowAnswerTest {

    private static final long SEED = Long.getLong("seed", 1);
    private static final int UPSTREAMS = 8;
    private static final int ANSWERS = 60;
    /** Others may be refused, as slow answers look like overload. */
    private static final int MIN_WHOLE = 30;
    private static final int MIN_BYTES = 70_000;
    private static final int MAX_BYTES = 500_000;
    private static final int PIECE_BYTES = 4_350;
    private static final int PIECE_EVERY_MS = 50;
    /** Some callers read in pieces too, a little faster than upstreams write. */
    private static final int CALLER_PIECE_EVERY_MS = 40;
    /** Shorter than most answers take. */
    private static final String TIME_S = "2.5";

    private final AtomicInteger whole = new AtomicInteger();

    private enum Framing { LENGTH, CHUNKED, CLOSE }

    /** Writes the answer that an id asks for, such as {@code 7-CHUNKED-90000}, until the connection ends. */
    private static void serve(HttpPeer connection) {
        try (connection) {
            while (true) {
                String[] id = connection.readHead().get("x-txn").split("-");
                Framing framing = Framing.valueOf(id[1]);
                write(connection, framing, Integer.parseInt(id[2]));
                if (framing == Framing.CLOSE) {
                    return;
                }
            }
        } catch (IOException | NullPointerException | InterruptedException e) {
            // The connection has ended.
        }
    }

    private static void write(HttpPeer connection, Framing framing, int bytes)
            throws IOException, InterruptedException {
        connection.write("HTTP/1.1 200 OK\r\n" + switch (framing) {
            case LENGTH -> "Content-Length: " + bytes;
            case CHUNKED -> "Transfer-Encoding: chunked";
            default -> "Connection: close";
        } + "\r\n\r\n");
        for (int left = bytes; left > 0; left -= PIECE_BYTES) {
            String piece = "x".repeat(Math.min(left, PIECE_BYTES));
            connection.write(framing != Framing.CHUNKED ? piece
                    : Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n");
            Thread.sleep(PIECE_EVERY_MS);
        }
        if (framing == Framing.CHUNKED) {
            connection.write("0\r\n\r\n");
        }
    }

    /** Returns null if the whole answer comes or the request is refused, or else what happened. */
    private String cutOff(NodeProcess node, String id, int bytes, boolean slowly) throws Exception {
        try (HttpPeer caller = HttpPeer.connect(node.address)) {
            caller.write(NodeFixture.get(id, TIME_S));
            String status = caller.readLine();
            Map<String, String> headers = caller.readHeaders();
            if (status != null && status.contains(" 503 ")) {
                return null;
            }
            if (status == null || !status.contains(" 200 ")) {
                return id + ": " + status;
            }
            long received = 0;
            try {
                received = readBody(caller, headers, slowly);
            } catch (IOException e) {
                return id + ": " + e;
            }
            whole.incrementAndGet();
            return received == bytes ? null : id + ": " + received + " bytes";
        }
    }

    private static long readBody(HttpPeer caller, Map<String, String> headers, boolean slowly)
            throws Exception {
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            readFully(caller.socket.getInputStream(), length, slowly);
            return length;
        }
        long received = 0;
        while (true) {
            String line = caller.readLine();
            if (line == null) {
                throw new EOFException("no last chunk after " + received + " bytes");
            }
            int size = Integer.parseInt(line, 16);
            readFully(caller.socket.getInputStream(), size, slowly);
            caller.readLine();
            received += size;
            if (size == 0) {
                return received;
            }
        }
    }

    private static void readFully(InputStream in, int length, boolean slowly) throws Exception {
        for (int left = length; left > 0;) {
            byte[] bytes = in.readNBytes(Math.min(left, PIECE_BYTES));
            if (bytes.length == 0) {
                throw new EOFException(left + " of " + length + " bytes are missing");
            }
            left -= bytes.length;
            if (slowly) {
                Thread.sleep(CALLER_PIECE_EVERY_MS);
            }
        }
    }

    /** Guards against cutting off an answer that its upstream still writes. */
    @Test
    void aLongAnswerThatIsWrittenSlowlyReachesItsCallerWhole() throws Exception {
        try (NodeFixture fixture = new NodeFixture(UPSTREAMS); NodeProcess node = new NodeProcess(fixture)) {
            fixture.upstreams.forEach(upstream -> upstream.serveEach(SlowAnswerTest::serve));
            HttpPeer.connectWhenServing(node.address, node.process).close();
            Random random = new Random(SEED);
            List<Callable<String>> plays = new ArrayList<>();
            for (int i = 0; i < ANSWERS; i++) {
                Framing framing = Framing.values()[i % Framing.values().length];
                int bytes = random.nextInt(MIN_BYTES, MAX_BYTES);
                boolean slowly = random.nextBoolean();
                String id = i + "-" + framing + "-" + bytes;
                plays.add(() -> cutOff(node, id, bytes, slowly));
            }
            assertEquals(List.of(), Plays.run(plays, ANSWERS), () -> String.join("\n", node.log()));
            assertTrue(whole.get() >= MIN_WHOLE, whole + " answers came whole");
        }
    }
}
