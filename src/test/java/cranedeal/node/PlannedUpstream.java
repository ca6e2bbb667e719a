package cranedeal.node;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;

/** Answers each request by the plan for its id, and records the attempts that arrived. */
final class PlannedUpstream {

    private static final int READ_BYTES = 4_350;

    /** A request that arrived whole, at a time in ns, and the answer planned for it. */
    record Arrival(String id, AnswerPlan plan, long at) { }

    private final Function<String, AnswerPlan> plans;
    private final int readPauseMs;
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    /**
     * Creates an upstream.
     *
     * @param plans returns the plan for an id, for each attempt anew
     * @param readPauseMs pause between two reads of a body
     */
    PlannedUpstream(Function<String, AnswerPlan> plans, int readPauseMs) {
        this.plans = plans;
        this.readPauseMs = readPauseMs;
    }

    /** Returns what has arrived so far. */
    List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Serves a connection until it ends. */
    void serve(HttpPeer connection) {
        try (connection) {
            boolean open = true;
            while (open) {
                Map<String, String> head = connection.readHead();
                String id = head.get("x-txn");
                readBody(connection, Integer.parseInt(head.getOrDefault("content-length", "0")));
                AnswerPlan plan = plans.apply(id);
                arrivals.add(new Arrival(id, plan, System.nanoTime()));
                open = plan.write(connection);
            }
        } catch (IOException | NullPointerException | InterruptedException e) {
            // The connection has ended.
        }
    }

    private void readBody(HttpPeer connection, int length) throws IOException, InterruptedException {
        InputStream in = connection.socket.getInputStream();
        for (int left = length; left > 0;) {
            int read = in.readNBytes(Math.min(left, READ_BYTES)).length;
            if (read == 0) {
                throw new IOException("the connection ended within a body");
            }
            left -= read;
            Thread.sleep(readPauseMs);
        }
    }
}
