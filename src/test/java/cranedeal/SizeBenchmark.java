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
 * What a request with its outcome, and a change of one upstream, cost the decision module by the length of
 * the list. Not a test: run it in pairs with another version, on a quiet machine, with the flags of service.
 */
final class SizeBenchmark {

    private static final int[] SIZES = {25, 100, 400, 800, 1_600, 3_200};
    private static final int EVENTS = 20_000;
    private static final int CHANGES = 2_000;
    private static final double GAP_MS = 4;
    private static final double NANOS_PER_US = 1e3;

    private SizeBenchmark() {
    }

    /** Keeps the last send; all else is dropped, as it is not what is measured. */
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

    /** Prints a line for each size: microseconds for a request and for a change, the middle of five plays. */
    public static void main(String[] args) {
        for (int size : SIZES) {
            List<double[]> seen = new ArrayList<>();
            for (int play = 0; play < 5; play++) {
                seen.add(play(size, play));
            }
            System.out.printf(Locale.ROOT, "%d upstreams: request %.1f us, change %.1f us%n", size,
                    seen.stream().mapToDouble(one -> one[0]).sorted().toArray()[2],
                    seen.stream().mapToDouble(one -> one[1]).sorted().toArray()[2]);
        }
    }

    private static double[] play(int size, long seed) {
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
