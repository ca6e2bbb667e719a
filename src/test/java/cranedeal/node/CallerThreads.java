package cranedeal.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.IntConsumer;

/**
 * The callers of a soak, each on a thread of its own, until they are ended.
 *
 * @param <C> what is recorded of a call
 */
abstract class CallerThreads<C> implements AutoCloseable {

    private final Queue<C> calls = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ended;
    private volatile boolean openNoMore;

    /** Runs a caller for each number up to a count. */
    final void start(int count, IntConsumer caller) {
        for (int i = 0; i < count; i++) {
            int number = i;
            Thread thread = new Thread(() -> caller.accept(number));
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    final void add(C call) {
        calls.add(call);
    }

    /** Returns true if callers have to end after their current request. */
    final boolean hasEnded() {
        return ended;
    }

    /** Returns true if callers may use open connections only. */
    final boolean opensNoMore() {
        return openNoMore;
    }

    /** Opens no more connections, and uses those that are open until they end. */
    final void openNoMore() {
        openNoMore = true;
    }

    /** Ends the callers once their requests have ended, and returns all calls. */
    final List<C> end() throws InterruptedException {
        ended = true;
        for (Thread thread : threads) {
            thread.join();
        }
        return List.copyOf(calls);
    }

    static void close(HttpPeer peer) {
        try {
            if (peer != null) {
                peer.close();
            }
        } catch (IOException e) {
            // It has ended anyway.
        }
    }

    @Override
    public void close() {
        ended = true;
    }
}
