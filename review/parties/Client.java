package parties;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A caller's connection: one request at a time. */
final class Client implements AutoCloseable {

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(String address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address(address), 2_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)),
                Integer.parseInt(text.substring(colon + 1)));
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Reads an answer; null if the connection ends before it, or if the time is over. */
    Answer read(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        try {
            return Wire.read(in);
        } catch (SocketTimeoutException e) {
            return null;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
