package cranedeal.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Random;

/**
 * Callers, each on a thread of its own, that use kept connections until they are ended: with small requests
 * and large ones, of HTTP/1.1 and 1.0, with three times, reading at once or slowly.
 */
final class AnswerSoakCallers extends CallerThreads<AnswerSoakCallers.Call> {

    /**
     * A request and what came of it.
     *
     * @param sentAt when its last byte was written, in ns of {@link System#nanoTime}
     * @param endedAt when its answer had ended, in ns
     */
    record Call(String id, int bytes, int timeMs, boolean slowly, boolean http10, boolean onNewConnection,
            long sentAt, long endedAt, ReceivedAnswer answer) { }

    private static final int[] TIMES_MS = {500, 2_000, 2_500};
    private static final int[] BYTES = {2_000, 90_000, 400_000, 3_000_000};
    private static final byte[] BODY = new byte[3_000_000];
    /** Two requests in so many have a body. */
    private static final int BODY_IN = 5;
    private static final int HTTP10_IN = 8;
    private static final int SLOWLY_IN = 4;
    /** For 4,350 bytes, so 108 kB a second. */
    private static final int SLOW_READ_PAUSE_MS = 40;
    private static final int PAUSE_MS = 60;
    /** Longer than an answer that stalls is awaited. */
    private static final int PATIENCE_MS = 14_000;

    private final InetSocketAddress address;

    AnswerSoakCallers(InetSocketAddress address, long seed, int count) {
        this.address = address;
        start(count, number -> callUntilEnded("c" + number + "r", new Random(seed * count + number)));
    }

    private void callUntilEnded(String prefix, Random random) {
        HttpPeer kept = null;
        try {
            for (int number = 0; !hasEnded(); number++) {
                Thread.sleep(random.nextInt(PAUSE_MS));
                boolean isNew = kept == null;
                if (isNew && opensNoMore()) {
                    return;
                }
                kept = isNew ? HttpPeer.connect(address) : kept;
                kept = call(kept, prefix + number, random, isNew);
            }
        } catch (IOException e) {
            if (!hasEnded() && !opensNoMore()) {
                callUntilEnded(prefix + "n", random);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(kept);
        }
    }

    /** Sends a request of a drawn kind; returns the connection if it can be used further, or else null. */
    private HttpPeer call(HttpPeer peer, String id, Random random, boolean isNew) throws IOException {
        int timeMs = TIMES_MS[random.nextInt(TIMES_MS.length)];
        int bytes = random.nextInt(BODY_IN) < 2 ? BYTES[random.nextInt(BYTES.length)] : 0;
        boolean slowly = random.nextInt(SLOWLY_IN) == 0;
        boolean http10 = bytes == 0 && random.nextInt(HTTP10_IN) == 0;
        peer.socket.setSoTimeout(PATIENCE_MS);
        String time = String.valueOf(timeMs / 1e3);
        String head = bytes == 0 ? NodeFixture.get(id, time) : NodeFixture.spend(id, "")
                .replace("X-Remaining: 10", "X-Remaining: " + time)
                .replace("Content-Length: 0", "Content-Length: " + bytes);
        try {
            peer.write(http10 ? head.replace("HTTP/1.1", "HTTP/1.0") : head);
            peer.write(BODY, 0, bytes);
        } catch (IOException e) {
            // An answer may have come before the end of the body.
        }
        long sentAt = System.nanoTime();
        ReceivedAnswer answer = ReceivedAnswer.read(peer, sentAt, slowly ? SLOW_READ_PAUSE_MS : 0);
        add(new Call(id, bytes, timeMs, slowly, http10, isNew, sentAt, System.nanoTime(), answer));
        if (answer.whole() && !answer.last()) {
            return peer;
        }
        close(peer);
        return null;
    }
}
