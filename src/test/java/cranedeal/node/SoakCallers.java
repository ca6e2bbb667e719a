package cranedeal.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers of drawn kinds, each on a thread of its own, until they are ended. */
final class SoakCallers extends CallerThreads<SoakCallers.Call> {

    /**
     * What became of a request.
     *
     * @param end the status; or {@code left}, {@code closed}, {@code silent}
     * @param sentAt when its last byte was written, in ns of {@link System#nanoTime}
     * @param endedAt when its answer had come, or its caller had left, in ns
     */
    record Call(String id, String kind, String end, int timeMs, long sentAt, long endedAt,
            boolean onNewConnection) {

        boolean left() {
            return end.equals("left");
        }

        boolean isClosed() {
            return end.equals("closed");
        }

        boolean isLate() {
            return end.equals("silent") || !left() && !isClosed()
                    && TimeUnit.NANOSECONDS.toMillis(endedAt - sentAt) > timeMs + GRACE_MS;
        }
    }

    /** An answer half a second after its time only earns nothing, and sockets add 50 ms. */
    private static final int GRACE_MS = 550;
    private static final int TIME_MS = 2_000;
    private static final int[] BYTES = {100, 2_000, 90_000, 400_000, 950_000, 3_000_000};
    private static final byte[] BODY = new byte[3_000_000];
    private static final int LARGE = 2;
    private static final int SLOW_BYTES = 150_000;
    private static final int SLOW_PIECE_BYTES = 3_200;
    private static final int SLOW_EVERY_MS = 50;
    private static final int MIN_STAY_MS = 5;
    private static final int MAX_STAY_MS = 300;
    private static final int PAUSE_MS = 40;

    private final InetSocketAddress address;
    private final AtomicInteger lastId = new AtomicInteger();

    SoakCallers(InetSocketAddress address, long seed, int count) {
        this.address = address;
        start(count, number -> callUntilEnded(new Random(seed * count + number)));
    }

    private void callUntilEnded(Random random) {
        HttpPeer kept = null;
        boolean used = false;
        try {
            while (!hasEnded()) {
                Thread.sleep(random.nextInt(PAUSE_MS));
                if (kept == null && opensNoMore()) {
                    return;
                }
                try {
                    used &= kept != null;
                    kept = kept == null ? HttpPeer.connect(address) : kept;
                } catch (IOException e) {
                    continue;
                }
                String end = call(kept, random, !used);
                used = true;
                if (!end.equals("kept")) {
                    close(kept);
                    kept = null;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close(kept);
        }
    }

    /** Sends a request of a drawn kind; returns "kept" if its connection can be used further. */
    private String call(HttpPeer peer, Random random, boolean isNew) throws InterruptedException {
        String id = "r" + lastId.incrementAndGet();
        int kind = random.nextInt(10);
        int bytes = BYTES[random.nextInt(BYTES.length)];
        int stayMs = random.nextInt(MIN_STAY_MS, MAX_STAY_MS);
        if (kind < 3) {
            return exchange(peer, id, "small", BYTES[random.nextInt(LARGE)], false, isNew);
        } else if (kind < 6) {
            return exchange(peer, id, "large", bytes, false, isNew);
        } else if (kind < 7) {
            return exchange(peer, id, "slow", SLOW_BYTES, true, isNew);
        }
        leave(peer, id, bytes, stayMs, isNew);
        if (kind == 9 && !opensNoMore()) {
            try (HttpPeer again = HttpPeer.connect(address)) {
                exchange(again, id, "again", bytes, false, true);
            } catch (IOException e) {
                return "left";
            }
        }
        return "left";
    }

    private static void writeHead(HttpPeer peer, String id, int bytes) throws IOException {
        peer.write(NodeFixture.spend(id, "").replace("X-Remaining: 10", "X-Remaining: " + TIME_MS / 1e3)
                .replace("Content-Length: 0", "Content-Length: " + bytes));
    }

    private void leave(HttpPeer peer, String id, int bytes, int stayMs, boolean isNew)
            throws InterruptedException {
        long sentAt = System.nanoTime();
        Thread writer = new Thread(() -> {
            try {
                write(peer, id, bytes, false);
            } catch (IOException | InterruptedException e) {
                // The caller leaves meanwhile, or the connection has ended.
            }
        });
        writer.setDaemon(true);
        writer.start();
        Thread.sleep(stayMs);
        close(peer);
        add(new Call(id, "leaves " + bytes, "left", TIME_MS, sentAt, System.nanoTime(), isNew));
    }

    private String exchange(HttpPeer peer, String id, String kind, int bytes, boolean slowly, boolean isNew)
            throws InterruptedException {
        String end;
        String next = "closed";
        long sentAt = System.nanoTime();
        try {
            peer.socket.setSoTimeout(TIME_MS + 2 * GRACE_MS);
            write(peer, id, bytes, slowly);
        } catch (IOException e) {
            // An answer may have come before the end of the body.
        }
        sentAt = slowly ? System.nanoTime() : sentAt;
        try {
            HttpPeer.Message answer = peer.read();
            end = answer == null ? "closed" : String.valueOf(answer.status());
            boolean last = answer == null || "close".equalsIgnoreCase(answer.header("Connection"));
            next = last ? "closed" : "kept";
        } catch (SocketTimeoutException e) {
            end = "silent";
        } catch (IOException e) {
            end = "closed";
        }
        add(new Call(id, kind + " " + bytes, end, TIME_MS, sentAt, System.nanoTime(), isNew));
        return next;
    }

    private static void write(HttpPeer peer, String id, int bytes, boolean slowly)
            throws IOException, InterruptedException {
        writeHead(peer, id, bytes);
        if (!slowly) {
            peer.write(BODY, 0, bytes);
            return;
        }
        for (int at = 0; at < bytes; at += SLOW_PIECE_BYTES) {
            peer.write(BODY, at, Math.min(bytes - at, SLOW_PIECE_BYTES));
            Thread.sleep(SLOW_EVERY_MS);
        }
    }
}
