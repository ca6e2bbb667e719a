package parties;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in that listens: a thread to a connection, one request at a time on each. */
final class Server implements AutoCloseable {

    /** Answers a request that has come whole. */
    interface Handler {
        void handle(Answer request, Connection connection) throws Exception;
    }

    /** A connection to this stand-in. */
    static final class Connection {

        final Socket socket;
        private final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            out = socket.getOutputStream();
        }

        synchronized void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void answer(int status, String extraHeaders, String body) throws IOException {
            write(bytes(status, extraHeaders, body));
        }
    }

    private final ServerSocket socket;
    private final Handler handler;

    Server(String ip, int port, Handler handler) throws IOException {
        socket = new ServerSocket(port, 256, InetAddress.getByName(ip));
        this.handler = handler;
        daemon(this::accept);
    }

    static byte[] bytes(int status, String extraHeaders, String body) {
        return ("HTTP/1.1 " + status + " X\r\n" + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n"
                + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                accepted.setTcpNoDelay(true);
                daemon(() -> serve(accepted));
            }
        } catch (IOException e) {
            // The stand-in was closed.
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            Connection connection = new Connection(accepted);
            InputStream in = new BufferedInputStream(accepted.getInputStream());
            for (Answer request = Wire.read(in); request != null; request = Wire.read(in)) {
                handler.handle(request, connection);
            }
        } catch (Exception e) {
            // The connection has ended.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
