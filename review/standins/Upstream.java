import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A server: it works on each request for a while and answers 200 with a body that names the request. */
class Upstream {

    private final Rig rig;
    private final String name;
    private final int workMs;
    final int port;

    Upstream(Rig rig, String name, int workMs) throws IOException {
        this.rig = rig;
        this.name = name;
        this.workMs = workMs;
        ServerSocket listener = new ServerSocket(0, 512, Rig.LOOPBACK);
        port = listener.getLocalPort();
        Rig.accept(listener, this::serve);
    }

    /** The body of the answer to a request. */
    static String bodyFor(String id) {
        return "booking of " + id;
    }

    static byte[] answer(String body) {
        return ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body).getBytes(StandardCharsets.US_ASCII);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
            if (request.first().startsWith("GET /ping ")) {
                out.write(answer("ok"));
                continue;
            }
            String id = request.header("X-Txn");
            rig.log(name + " runs " + id + ", told " + request.header("X-Remaining") + " s");
            Thread.sleep(workMs);
            answer(socket, id, Upstream.answer(bodyFor(id)));
        }
    }

    /** Writes the answer to a request; a spoilt one is written by an override. */
    void answer(Socket socket, String id, byte[] answer) throws IOException, InterruptedException {
        socket.getOutputStream().write(answer);
        rig.log(name + " has answered " + id);
    }
}
