package cranedeal.node;

import cranedeal.LoadBalancer;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** A decision module that a test scripts, and that records the events that its host reports. */
final class ScriptedBalancer implements LoadBalancer {

    Actions actions;
    volatile List<Upstream> upstreams = List.of();
    /** Handles a request; by default sends it to the first upstream, with its deadline as the timeout. */
    volatile Consumer<Request> onRequest = request -> sendTo(0, request, 0);
    volatile Consumer<Outcome> onOutcome = outcome -> { };
    /** Handles the outcome of an attempt if the request is still open; by default fails the request. */
    volatile BiConsumer<Actions, Outcome> onOpenOutcome = (to, outcome) -> to.fail(outcome.requestId());
    volatile Runnable onTimer = () -> { };
    volatile Runnable onStart = () -> { };
    final LinkedBlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<Change> changes = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<Long> streams = new LinkedBlockingQueue<>();
    final LinkedBlockingQueue<Long> goneClients = new LinkedBlockingQueue<>();
    /** The upstreams that operators have banned. */
    final Set<Long> banned = ConcurrentHashMap.newKeySet();
    final LinkedBlockingQueue<String> probes = new LinkedBlockingQueue<>();

    LoadBalancer attach(Actions hostActions) {
        actions = hostActions;
        return this;
    }

    /** Sends a request to the upstream at an index of the list. */
    void sendTo(int index, Request request, double timeout) {
        actions.send(request.id(), upstreams.get(index).id(), timeout);
    }

    /** Retries at the upstream at an index until the host sends no more, and then refuses the request. */
    void sendUntilNotSent(int index) {
        onOpenOutcome = (to, outcome) -> {
            if (outcome.result() == Result.NOT_SENT) {
                to.refuse(outcome.requestId(), 0);
            } else {
                to.send(outcome.requestId(), upstreams.get(index).id(), 0);
            }
        };
    }

    static <T> T next(LinkedBlockingQueue<T> queue) throws InterruptedException {
        T item = queue.poll(HttpPeer.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (item == null) {
            throw new AssertionError("nothing arrived in time");
        }
        return item;
    }

    Result nextResult() throws InterruptedException {
        return next(outcomes).result();
    }

    @Override
    public void start(double now, Settings settings, long seed) {
        onStart.run();
    }

    @Override
    public void upstreamsChanged(double now, Change change, List<Upstream> list) {
        if (change == Change.CACHED || change == Change.FULL) {
            upstreams = list;
        }
        changes.add(change);
    }

    @Override
    public void upstreamDisabled(double now, long upstream, boolean isBanned) {
        if (isBanned) {
            banned.add(upstream);
        } else {
            banned.remove(upstream);
        }
    }

    @Override
    public void request(double now, Request request) {
        onRequest.accept(request);
    }

    @Override
    public void attemptFinished(double now, Outcome outcome) {
        outcomes.add(outcome);
        onOutcome.accept(outcome);
        if (!outcome.requestClosed()) {
            onOpenOutcome.accept(actions, outcome);
        }
    }

    @Override
    public void streamStarted(double now, long requestId, int attempt, double elapsed) {
        streams.add(requestId);
    }

    @Override
    public void clientGone(double now, long requestId) {
        goneClients.add(requestId);
    }

    @Override
    public void timer(double now, long token) {
        onTimer.run();
    }

    @Override
    public void probeResult(double now, long upstream, Result result, double elapsed, double[] report) {
        probes.add(result + " " + java.util.Arrays.toString(report));
    }
}
