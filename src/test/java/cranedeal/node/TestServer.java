package cranedeal.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Listens on a port of its own and hands each connection to the test, which plays the server. */
final class TestServer implements AutoCloseable {

    private final ServerSocket server;
    private final Thread accepting;
    /** Holds the port once nobody listens there any more. */
    private final Socket holder = new Socket();
    private final LinkedBlockingQueue<HttpPeer> accepted = new LinkedBlockingQueue<>();

    TestServer() throws IOException {
        this(0);
    }

    /** With a receive buffer of a size, 0 for the system's choice. */
    TestServer(int receiveBuffer) throws IOException {
        server = new ServerSocket();
        if (receiveBuffer > 0) {
            server.setReceiveBufferSize(receiveBuffer);
        }
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        accepting = new Thread(() -> {
            try {
                while (true) {
                    accepted.add(new HttpPeer(server.accept()));
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** The next connection; fails the test if none comes. */
    HttpPeer accept() throws InterruptedException {
        HttpPeer peer = accepted.poll(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (peer == null) {
            throw new AssertionError("no connection came");
        }
        return peer;
    }

    /** From now on refuses connections; the port stays taken, so that nobody else can listen there. */
    void refuseConnections() throws IOException, InterruptedException {
        int port = server.getLocalPort();
        server.close();
        // The kernel closes it only once nobody waits there, and lets connections come up until then.
        accepting.join();
        // Connections of before may still be there.
        holder.setReuseAddress(true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** From now on hands each connection to {@code server} on a thread of its own, until the test is over. */
    void serveEach(Consumer<HttpPeer> server) {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    HttpPeer peer = accept();
                    Thread worker = new Thread(() -> server.accept(peer));
                    worker.setDaemon(true);
                    worker.start();
                }
            } catch (InterruptedException | AssertionError e) {
                // Nobody calls any more.
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** How many connections have come that the test has not looked at. */
    int pendingConnections() {
        return accepted.size();
    }

    @Override
    public void close() throws IOException {
        holder.close();
        server.close();
    }
}
