package cranedeal.node;

import cranedeal.LoadBalancer.Idempotency;
import cranedeal.LoadBalancer.Result;
import cranedeal.LoadBalancer.ServiceClass;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/** A request from its arrival until it has its one answer and none of its attempts is out. */
final class Exchange {

    /** Who waits for the answer. It is told it whole, or in pieces between {@code begin} and an end. */
    interface Caller extends ResponseSink {

        /** Whether it still waits, by what its connection says at this moment; not from within its reads. */
        boolean isConnected();

        /**
         * Writes the answer; called once at most. The body is not to be kept; {@code retryAfter} in ms is
         * when to come back, 0 for no advice.
         */
        void answer(HttpResponseStatus status, ByteBuf body, double retryAfter);

        /**
         * Begins with the answer of a served request.
         *
         * @param length negative if it is not known
         * @param drained run each time when pieces can be taken again
         */
        void startStream(long length, Runnable drained);

        /** That was the whole answer. */
        void endStream();

        /** The rest of the answer won't come, and the caller must be able to tell. */
        void abort();
    }

    /** For how many ms it is taken for granted that a caller is still there. */
    private static final double SURELY_THERE_MS = 1;

    final long id;
    /** Its class's name as the configuration has it, and the class by the settings of its arrival. */
    private final String className;
    private final ServiceClass serviceClass;
    private final NodeMetrics figures;
    final FullHttpRequest request;
    /** The body where that comes on its own; null for others. */
    final Upload upload;
    double deadline;
    final List<UpstreamClient.Attempt> attempts = new ArrayList<>(2);
    /** How many attempts were asked for, and how many of them are out; one not sent is null in the list. */
    int attemptsRequested;
    int attemptsInFlight;
    /** How the latest attempt that is over has ended; cancelled if none has, as a copy is sent beside one. */
    Result lastResult = Result.CANCELLED;
    Future<?> deadlineTimer;
    /** When its body was there; NaN while that is on its way. */
    double receivedAt;
    private Caller caller;
    /** When it was last known that the caller was there, in ms of the clock. */
    private double seenAt;
    private boolean begun;

    Exchange(long id, String className, ServiceClass serviceClass, FullHttpRequest request, double deadline,
            Caller caller, double now, NodeMetrics figures) {
        this.id = id;
        this.className = className;
        this.serviceClass = serviceClass;
        this.figures = figures;
        this.request = request;
        upload = request instanceof StreamedRequest large ? large.upload : null;
        this.deadline = deadline;
        this.caller = caller;
        seenAt = now;
        figures.requestStarted();
    }

    boolean isOpen() {
        return caller != null;
    }

    /** Whether its answer has begun to go out, and has not ended. */
    boolean isStreaming() {
        return begun && isOpen();
    }

    /**
     * Whether an attempt may go out now, some time after the module has asked for it: only while somebody
     * waits, and where repeats are dropped for a while, only for that long after another may have run.
     */
    boolean maySend(int number, double now) {
        if (!isCallerWaiting(now)) {
            return false;
        }
        if (serviceClass.idempotency() != Idempotency.DEDUPLICATED) {
            return true;
        }
        for (int i = 0; i < attempts.size(); i++) {
            UpstreamClient.Attempt other = attempts.get(i);
            if (i != number && other != null && now >= other.mayHaveRunFrom() + serviceClass.dedupWindow()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether somebody waits for its answer, and has not left while this process was busy elsewhere. Who
     * sends a body that comes on its own is not asked: its connection is being read, or reading is to wait.
     */
    boolean isCallerWaiting(double now) {
        if (!isOpen() || upload != null || now <= seenAt + SURELY_THERE_MS) {
            return isOpen();
        }
        seenAt = now;
        return caller.isConnected();
    }

    /** How long this process held an attempt up before its request went out, in ms. */
    double localDelay(int number) {
        UpstreamClient.Attempt attempt = number < attempts.size() ? attempts.get(number) : null;
        return attempt == null ? 0 : attempt.localDelay();
    }

    /** Answers unless that is done already or nobody waits any more; breaks off an answer that has begun. */
    void answer(HttpResponseStatus status, ByteBuf body, double retryAfter) {
        Caller waiting = caller;
        if (waiting == null) {
            return;
        }
        close();
        figures.requestAnswered(className, begun ? HttpResponseStatus.BAD_GATEWAY : status);
        if (begun) {
            waiting.abort();
        } else {
            waiting.answer(status, body, retryAfter);
        }
    }

    /** Turns down what has proved to be no request; it counts for no class. */
    void reject(HttpResponseStatus status, ByteBuf body) {
        Caller waiting = caller;
        if (waiting != null && !begun) {
            close();
            waiting.answer(status, body, 0);
        }
    }

    /** Begins with an answer that comes in pieces, and returns who takes them. */
    ResponseSink startStream(long length, Runnable drained) {
        begun = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        caller.startStream(length, drained);
        return caller;
    }

    /** The answer that has begun is whole. */
    void endStream() {
        Caller waiting = caller;
        close();
        figures.requestAnswered(className, HttpResponseStatus.OK);
        waiting.endStream();
    }

    /** Nobody waits for an answer any more. */
    void close() {
        if (caller != null) {
            figures.requestEnded();
        }
        caller = null;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }
}
