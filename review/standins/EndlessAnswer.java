import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients, and servers of which some answers begin with a head and never go on. */
final class EndlessAnswer {

    private static final int UPSTREAMS = 4;
    private static final int REQUESTS = 200;
    private static final int REQUESTS_PER_S = 10;
    private static final int WORK_MS = 15;
    /** One answer in so many is spoilt. */
    private static final int ONE_IN = 20;
    private static final int DEADLINE_MS = 3_000;
    /** Up to half a second after its time an answer only earns nothing; sockets add 50 ms. */
    private static final int GRACE_MS = 550;
    /** How long clients stay to see what comes. */
    private static final int STAY_MS = 15_000;

    private EndlessAnswer() {
    }

    public static void main(String[] args) {
        Rig.main(args[0], EndlessAnswer::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        AtomicInteger answers = new AtomicInteger();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            String name = "s-" + i;
            ports.add(new Upstream(rig, name, WORK_MS) {
                @Override
                void answer(Socket socket, String id, byte[] answer) throws IOException, InterruptedException {
                    if (trouble && answers.incrementAndGet() % ONE_IN == 0) {
                        rig.log(name + " begins the answer to " + id + " and never ends it");
                        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                        Thread.sleep(60_000);
                    } else {
                        super.answer(socket, id, answer);
                    }
                }
            }.port);
        }
        Rig.Discovery discovery = rig.new Discovery(ports);
        int port = Rig.freePort();
        rig.startBalancer("n1", port, discovery.port, Rig.config("n1", port, discovery.port, discovery.list(),
                Rig.service("book-slot", "at_most_once", 2_500, DEADLINE_MS)));
        AtomicInteger served = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(REQUESTS);
        for (int i = 0; i < REQUESTS; i++) {
            String id = String.format("%08x", 0x1000_0000 + i);
            Rig.daemon(() -> {
                client(rig, port, id, served, failed, late);
                done.countDown();
            });
            Thread.sleep(1_000 / REQUESTS_PER_S);
        }
        done.await();
        rig.logOutput("n1");
        rig.say("served: " + served + ", failed or refused in time: " + failed
                + ", without a byte of an answer half a second after the deadline: " + late);
        return late.get() == 0;
    }

    private static void client(Rig rig, int port, String id, AtomicInteger served, AtomicInteger failed,
            AtomicInteger late) {
        double sentAt = rig.now();
        double firstByteAt = Double.NaN;
        String end;
        boolean whole = false;
        try (Socket socket = new Socket(Rig.LOOPBACK, port)) {
            socket.setTcpNoDelay(true);
            sentAt = rig.now();
            socket.getOutputStream().write(("POST /book-slot HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + id
                    + "\r\nX-Lane: book-slot\r\nX-Org: lalitpur\r\nX-Remaining: " + DEADLINE_MS / 1_000 + ".000\r\n"
                    + "Content-Length: 4\r\n\r\nbody").getBytes(StandardCharsets.US_ASCII));
            socket.setSoTimeout(STAY_MS);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            in.mark(1);
            int first = in.read();
            firstByteAt = first < 0 ? Double.NaN : rig.now();
            in.reset();
            Http.Message answer = first < 0 ? null : Http.read(in, true);
            whole = answer != null && answer.status() == 200 && answer.text().equals(Upstream.bodyFor(id));
            end = answer == null ? "a close" : answer.first();
        } catch (SocketTimeoutException e) {
            end = "nothing more in " + STAY_MS + " ms";
        } catch (IOException e) {
            end = "a broken answer: " + e.getMessage();
        }
        double endedAfter = rig.now() - sentAt;
        double first = firstByteAt - sentAt;
        boolean inTime = first <= DEADLINE_MS + GRACE_MS || endedAfter <= DEADLINE_MS + GRACE_MS;
        rig.log((inTime ? "" : "BROKEN: ") + String.format("client of %s: first byte after %.0f ms, end after %.0f ms with %s",
                id, first, endedAfter, end));
        (!inTime ? late : whole ? served : failed).incrementAndGet();
    }
}
