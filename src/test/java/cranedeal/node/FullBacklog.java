package cranedeal.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket whose accept queue is full: further connections hang until one is accepted. The
 * constructor waits until the kernel's table shows a full queue. Only one connection of the test may wait for
 * a place: others would retry at the same times and could take the place that an accept has freed.
 */
final class FullBacklog implements AutoCloseable {

    /** The kernel queues one connection more than requested. */
    private static final int BACKLOG = 1;
    private static final int FILLING_CONNECTIONS = BACKLOG + 1;

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final List<Socket> filling = new ArrayList<>();

    FullBacklog() throws Exception {
        for (int i = 0; i < FILLING_CONNECTIONS; i++) {
            filling.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
        long end = System.nanoTime() + HttpPeer.TIMEOUT_MS * 1_000_000L;
        while (queuedConnections() < FILLING_CONNECTIONS) {
            if (System.nanoTime() > end) {
                throw new AssertionError(queuedConnections() + " connections are queued");
            }
            Thread.onSpinWait();
        }
    }

    /** Returns the number of established connections not accepted yet, as the kernel counts them. */
    private long queuedConnections() throws IOException {
        return SocketTable.unread(server.getLocalPort(), true, SocketTable.State.LISTENING);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Accepts the connections that fill the queue, and returns the next one after them. */
    HttpPeer acceptNext() throws Exception {
        List<Integer> own = new ArrayList<>();
        for (Socket socket : filling) {
            own.add(((InetSocketAddress) socket.getLocalSocketAddress()).getPort());
        }
        server.setSoTimeout(HttpPeer.TIMEOUT_MS);
        HttpPeer next = new HttpPeer(server.accept());
        while (own.contains(next.socket.getPort())) {
            next.close();
            next = new HttpPeer(server.accept());
        }
        return next;
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : filling) {
            socket.close();
        }
        server.close();
    }
}
