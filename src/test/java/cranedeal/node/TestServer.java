package cranedeal.node;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Listens on a port of its own and hands each connection to the test, which acts as the server. */
final class TestServer implements AutoCloseable {

    private final ServerSocket server;
    private final Thread accepting;
    /** Keeps the port bound after this server has stopped listening. */
    private final Socket holder = new Socket();
    private final LinkedBlockingQueue<HttpPeer> accepted = new LinkedBlockingQueue<>();

    TestServer() throws IOException {
        this(0);
    }

    /** Listens with a receive buffer of the given size; 0 for the system's default. */
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
                // The server was closed, as the test is over or wants connections refused.
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the next connection; fails the test if none arrives. */
    HttpPeer accept() throws InterruptedException {
        HttpPeer peer = accepted.poll(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (peer == null) {
            throw new AssertionError("no connection arrived");
        }
        return peer;
    }

    /** Refuses connections from now on; the port stays bound, so that nothing else can listen there. */
    void refuseConnections() throws IOException, InterruptedException {
        int port = server.getLocalPort();
        server.close();
        // The kernel closes the socket only once no thread waits in accept; connections come up till then.
        accepting.join();
        // Earlier connections may still exist.
        holder.setReuseAddress(true);
        holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Hands each connection from now on to {@code handler}, on a thread of its own, until the test ends. */
    void serveEach(Consumer<HttpPeer> handler) {
        Thread acceptor = new Thread(() -> {
            try {
                while (true) {
                    HttpPeer peer = accept();
                    Thread worker = new Thread(() -> handler.accept(peer));
                    worker.setDaemon(true);
                    worker.start();
                }
            } catch (InterruptedException | AssertionError e) {
                // No more connections arrive.
            }
        });
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Returns the number of connections that the test has not taken yet. */
    int pendingConnections() {
        return accepted.size();
    }

    @Override
    public void close() throws IOException {
        holder.close();
        server.close();
    }
}
