package cranedeal;

import cranedeal.LoadBalancer.Change;
import cranedeal.LoadBalancer.Outcome;
import cranedeal.LoadBalancer.Request;
import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.State;
import cranedeal.LoadBalancer.Upstream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures the CPU time of a request with its outcome, and of a change of one upstream, by the length of the
 * list. Not a test: run it in pairs with another version, on a quiet machine, with the JVM flags used in
 * service.
 */
final class SizeBenchmark {

    private static final int[] SIZES = {25, 100, 400, 800, 1_600, 3_200};
    private static final int EVENTS = 20_000;
    private static final int CHANGES = 2_000;
    private static final double GAP_MS = 4;
    private static final double NANOS_PER_US = 1e3;

    private SizeBenchmark() {
    }

    /** Records the last send and ignores other actions, which are not measured. */
    private static final class Host implements LoadBalancer.Actions {

        private long upstream;
        private boolean sent;

        @Override
        public void send(long requestId, long to, double timeout) {
            upstream = to;
            sent = true;
        }

        @Override
        public void refuse(long requestId, double retryAfter) { }

        @Override
        public void fail(long requestId) { }

        @Override
        public void cancel(long requestId, int attempt) { }

        @Override
        public void probe(long to) { }

        @Override
        public void closeIdle(long to) { }

        @Override
        public void fetch() { }

        @Override
        public void watch(boolean on) { }

        @Override
        public void setTimer(long token, double at) { }

        @Override
        public void sendToPeer(int peer, byte[] payload) { }

        @Override
        public void log(String text) { }
    }

    private static Upstream upstream(int number, State state) {
        return new Upstream(number * 7_919L, 0, number % 2, number / 8, state, 1, 0);
    }

    /** Prints for each size the microseconds per request and per change, as the median of five runs. */
    public static void main(String[] args) {
        for (int size : SIZES) {
            List<double[]> results = new ArrayList<>();
            for (int run = 0; run < 5; run++) {
                results.add(run(size, run));
            }
            System.out.printf(Locale.ROOT, "%d upstreams: request %.1f us, change %.1f us%n", size,
                    results.stream().mapToDouble(result -> result[0]).sorted().toArray()[2],
                    results.stream().mapToDouble(result -> result[1]).sorted().toArray()[2]);
        }
    }

    private static double[] run(int size, long seed) {
        Host host = new Host();
        LoadBalancer balancer = new LatencyWeightedBalancer(host);
        balancer.start(0, Sites.plain().lateWorth(0).build(), seed);
        List<Upstream> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            list.add(upstream(i, State.READY));
        }
        balancer.upstreamsChanged(0, Change.CACHED, list);
        double now = 0;
        long start = 0;
        for (int i = 0; i < 2 * EVENTS; i++) {
            if (i == EVENTS) {
                start = System.nanoTime();
            }
            now += GAP_MS;
            host.sent = false;
            balancer.request(now, new Request(i, 0, 0, 0, now + Sites.DEADLINE, 0, false, false));
            if (host.sent) {
                Result result = host.upstream % 50 == 0 ? Result.ERROR : Result.OK;
                balancer.attemptFinished(now + 1, new Outcome(i, 0, host.upstream, result, true, 1, null));
            }
        }
        double request = (System.nanoTime() - start) / NANOS_PER_US / EVENTS;
        start = System.nanoTime();
        for (int i = 0; i < CHANGES; i++) {
            State state = i / size % 2 == 0 ? State.DRAINING : State.READY;
            balancer.upstreamsChanged(now, Change.DELTA, List.of(upstream(i % size, state)));
        }
        return new double[] {request, (System.nanoTime() - start) / NANOS_PER_US / CHANGES};
    }
}
