package parties;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An upstream that also tells when the head of a request has come, before its body. */
final class Upstream {

    /** Receives the id of a request whose head has come. */
    interface HeadListener {
        void head(String transaction, double connectedAt);
    }

    private final ServerSocket socket;
    private final HeadListener heads;
    private final Handler handler;

    /** Answers a request that has come whole. */
    interface Handler {
        void handle(Answer request, Server.Connection connection) throws Exception;
    }

    Upstream(String ip, HeadListener heads, Handler handler) throws IOException {
        socket = new ServerSocket(0, 256, InetAddress.getByName(ip));
        this.heads = heads;
        this.handler = handler;
        Server.daemon(this::accept);
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                Server.daemon(() -> serve(accepted));
            }
        } catch (IOException e) {
            // The stand-in was closed.
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            Server.Connection connection = new Server.Connection(accepted);
            InputStream in = new BufferedInputStream(accepted.getInputStream(), 1 << 16);
            while (true) {
                in.mark(1 << 15);
                StringBuilder head = new StringBuilder();
                while (head.indexOf("\r\n\r\n") < 0) {
                    int c = in.read();
                    if (c < 0) {
                        return;
                    }
                    head.append((char) c);
                }
                for (String line : head.toString().split("\r\n")) {
                    if (line.toLowerCase(java.util.Locale.ROOT).startsWith("x-txn:")) {
                        heads.head(line.substring(line.indexOf(':') + 1).strip(), 0);
                    }
                }
                in.reset();
                handler.handle(Wire.read(in), connection);
            }
        } catch (Exception e) {
            // The connection has ended.
        }
    }
}
