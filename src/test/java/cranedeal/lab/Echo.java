package cranedeal.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A process that echoes each line of a connection, and prints it to its own output too. */
public final class Echo {

    private Echo() {
    }

    /** The arguments are the address and port to listen on. */
    public static void main(String[] args) throws IOException {
        try (ServerSocket server = new ServerSocket()) {
            server.bind(new InetSocketAddress(InetAddress.getByName(args[0]), Integer.parseInt(args[1])));
            System.out.println("ready");
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            }
        }
    }

    private static void serve(Socket socket) {
        try (socket; BufferedReader in = new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))) {
            System.out.println("from " + socket.getInetAddress().getHostAddress());
            OutputStream out = socket.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                System.out.println(line.length() > 100 ? "long" : line);
                out.write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            System.out.println("end of stream");
        } catch (IOException e) {
            System.out.println("broken: " + e.getMessage());
        }
    }
}
