package cranedeal.fleet.command;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Commands against a process whose answer begins and does not end. */
@Timeout(30)
class UnendedCallTest {

    private static final String START = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"na";
    private static final String DOCUMENT = "{\"form\":1,\"services\":{\"front\":{}}}";
    private static final int NO_ANSWER = 1;

    private ServerSocket server;
    private final Queue<Socket> accepted = new ConcurrentLinkedQueue<>();

    @BeforeEach
    void startServer() throws IOException {
        server = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    Socket connection = server.accept();
                    accepted.add(connection);
                    connection.getOutputStream().write(START.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    @AfterEach
    void stopServer() throws IOException {
        server.close();
        for (Socket connection : accepted) {
            connection.close();
        }
    }

    private String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Guards against a command that waits forever, as the start of an answer ended its time limit. */
    @Test
    void eachCommandGivesUpAnAnswerThatBeginsAndDoesNotEnd(@TempDir Path folder) throws Exception {
        Path document = Files.writeString(folder.resolve("document.json"), DOCUMENT);
        List<String> commands = List.of("members " + address(), "config status --to " + address(),
                "config rollback 1 --to " + address(), "config take-over --to " + address(),
                "config publish " + document + " --to " + address());
        ExecutorService callers = Executors.newFixedThreadPool(commands.size());
        try {
            List<Future<Integer>> codes = new ArrayList<>();
            for (String command : commands) {
                String[] arguments = ("fleet " + command).split(" ");
                codes.add(callers.submit(() -> Program.run(Map.of(), arguments)));
            }
            for (int i = 0; i < commands.size(); i++) {
                assertEquals(NO_ANSWER, codes.get(i).get(), commands.get(i));
            }
        } finally {
            callers.shutdownNow();
        }
    }
}
