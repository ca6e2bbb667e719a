package cranedeal.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A listening socket whose queue is full: further connections hang until someone is accepted. That it is full
 * is seen in the kernel's table before anybody else connects, and nobody but the test's own connection waits
 * to be let in: others would try again at the same times as it, and take the place that an accept has made.
 */
final class FullBacklog implements AutoCloseable {

    /** The kernel takes one more than it was asked for. */
    private static final int BACKLOG = 1;
    private static final int FILLING = BACKLOG + 1;

    private final ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final List<Socket> filling = new ArrayList<>();

    FullBacklog() throws Exception {
        for (int i = 0; i < FILLING; i++) {
            filling.add(new Socket(InetAddress.getLoopbackAddress(), server.getLocalPort()));
        }
        long end = System.nanoTime() + HttpPeer.TIMEOUT_MS * 1_000_000L;
        while (queued() < FILLING) {
            if (System.nanoTime() > end) {
                throw new AssertionError(queued() + " wait in the queue");
            }
            Thread.onSpinWait();
        }
    }

    /** How many connections are up that nobody has accepted, as the kernel counts them. */
    private long queued() throws IOException {
        return SocketTable.unread(server.getLocalPort(), true, SocketTable.State.LISTENING);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Lets those in that fill the queue, then the next one that is none of them. */
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
