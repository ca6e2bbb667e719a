package cranedeal.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One end of an HTTP/1.1 connection on a blocking socket, for tests that control each byte. */
final class HttpPeer implements AutoCloseable {

    /** A received message: its first line, its headers by lower-case name, and its body. */
    record Message(String firstLine, Map<String, String> headers, String body) {

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    static final int TIMEOUT_MS = 20_000;

    final Socket socket;
    private final InputStream in;

    HttpPeer(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
    }

    static HttpPeer connect(InetSocketAddress address) throws IOException {
        return new HttpPeer(new Socket(InetAddress.getLoopbackAddress(), address.getPort()));
    }

    /** Connects as soon as the process answers a health check. */
    static HttpPeer connectWhenServing(InetSocketAddress address, Process process) throws IOException {
        while (true) {
            try {
                HttpPeer peer = connect(address);
                peer.write(NodeFixture.HEALTH);
                if (peer.read().status() != 200) {
                    throw new AssertionError("the node is not healthy");
                }
                return peer;
            } catch (IOException e) {
                if (!process.isAlive()) {
                    throw new AssertionError("the node's process has exited", e);
                }
                Thread.onSpinWait();
            }
        }
    }

    void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Writes bytes from an offset on. */
    void write(byte[] bytes, int offset, int length) throws IOException {
        socket.getOutputStream().write(bytes, offset, length);
    }

    /** Reads the next message; returns null at the end of the stream. */
    Message read() throws IOException {
        String first = readLine();
        if (first == null) {
            return null;
        }
        Map<String, String> headers = readHeaders();
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(first, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    /** Reads the head of a message, and leaves its body. */
    Map<String, String> readHead() throws IOException {
        readLine();
        return readHeaders();
    }

    /** Reads headers, up to and including the empty line behind them. */
    Map<String, String> readHeaders() throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return headers;
    }

    /** Waits for the other side to close or reset the connection; returns false if it does not. */
    boolean awaitClose() {
        try {
            return in.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Reads a line without its end; returns null at the end of the stream. */
    String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0; c = in.read()) {
            if (c == '\n') {
                return line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.length() == 0 ? null : line.toString();
    }

    /** Closes the connection with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
