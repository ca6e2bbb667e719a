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

/** A caller's request, from its arrival until it is answered once and has no attempt in flight. */
final class Exchange {

    /**
     * Receives the answer: either complete, or streamed in chunks between {@link #startStream} and
     * {@link #endStream} or {@link #abort}.
     */
    interface Caller extends ResponseSink {

        /** Returns true if the end of the connection may lie behind a body that is still arriving. */
        boolean mayLeaveUnseen();

        /** Returns true if the caller is known to be connected, as far as can be read. */
        boolean isConnected();

        /**
         * Writes a complete answer; called at most once.
         *
         * @param body must not be kept
         * @param retryAfter ms after which to retry; 0 for no advice
         */
        void answer(HttpResponseStatus status, ByteBuf body, double retryAfter);

        /**
         * Starts a streamed answer with status 200.
         *
         * @param length negative if it is not known
         * @param onWritable run each time when more chunks can be written
         */
        void startStream(long length, Runnable onWritable);

        /** Ends a streamed answer that is complete. */
        void endStream();

        /** Breaks a streamed answer off, in a way that the caller can tell from a complete one. */
        void abort();
    }

    /** For how many ms after a check the caller is assumed to be still connected. */
    private static final double CONNECTED_CHECK_INTERVAL_MS = 1;

    final long id;
    /** Name of its service class, and the class as the settings had it when the request arrived. */
    final String className;
    private final ServiceClass serviceClass;
    private final NodeMetrics metrics;
    private final RequestLog log;
    /** When it was accepted, in ms of the clock. */
    final double acceptedAt;
    final FullHttpRequest request;
    /** The body if it is streamed; otherwise null. */
    final Upload upload;
    double deadline;
    final List<UpstreamClient.Attempt> attempts = new ArrayList<>(2);
    /** Attempts that the module has asked for, and those in flight; one not sent is null in the list. */
    int attemptsRequested;
    int attemptsInFlight;
    /** Result of the attempt that ended last; CANCELLED if none has ended, as with a hedged request. */
    Result lastResult = Result.CANCELLED;
    Future<?> deadlineTimer;
    /** When its whole body had been received; NaN while it is arriving. */
    double receivedAt;
    private Caller caller;
    /** When the caller was last known to be connected, in ms of the clock. */
    private double connectedCheckedAt;
    /** Number of the attempt whose answer is streamed; negative if none is. */
    private int streamedAttempt = -1;

    Exchange(long id, String className, ServiceClass serviceClass, FullHttpRequest request, double deadline,
            Caller caller, double now, NodeMetrics metrics, RequestLog log) {
        this.id = id;
        this.className = className;
        this.serviceClass = serviceClass;
        this.metrics = metrics;
        this.log = log;
        acceptedAt = now;
        this.request = request;
        upload = request instanceof StreamedRequest large ? large.upload : null;
        this.deadline = deadline;
        this.caller = caller;
        // The end of the connection may lie behind a body, unseen.
        boolean unseen = upload != null || caller.mayLeaveUnseen();
        connectedCheckedAt = unseen ? Double.NEGATIVE_INFINITY : now;
        metrics.requestStarted();
    }

    boolean isOpen() {
        return caller != null;
    }

    /** Returns true if its answer has no deadline once it has started. */
    boolean isUntimedOnceStarted() {
        return serviceClass.streamed();
    }

    /** Returns true while a streamed answer is being written. */
    boolean isStreaming() {
        return streamStarted() && isOpen();
    }

    private boolean streamStarted() {
        return streamedAttempt >= 0;
    }

    /** Returns true if the answer being written is that of the given attempt. */
    boolean isStreamedBy(int number) {
        return isStreaming() && streamedAttempt == number;
    }

    /**
     * Returns true if an attempt may be written now, some time after the module has asked for it: only while
     * the caller waits, and for a class whose repeats upstreams deduplicate, only within the class's
     * deduplication window after another attempt may have run.
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
            if (i != number && other != null && now >= other.mayHaveRunSince() + serviceClass.dedupWindow()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns true if the caller still waits for an answer, also checking that it has not disconnected while
     * this process was busy. Returns false too if that can't be seen, as the connection is not being read.
     */
    boolean isCallerWaiting(double now) {
        if (!isOpen() || now <= connectedCheckedAt + CONNECTED_CHECK_INTERVAL_MS) {
            return isOpen();
        }
        boolean connected = caller.isConnected();
        if (connected) {
            connectedCheckedAt = now;
        }
        return connected;
    }

    /** Returns by how many ms this process delayed an attempt before its request was written. */
    double localDelay(int number) {
        UpstreamClient.Attempt attempt = number < attempts.size() ? attempts.get(number) : null;
        return attempt == null ? 0 : attempt.localDelay();
    }

    /** Answers the caller if it still waits; if a streamed answer has started, breaks it off instead. */
    void answer(HttpResponseStatus status, ByteBuf body, double retryAfter) {
        Caller waitingCaller = caller;
        if (waitingCaller == null) {
            return;
        }
        if (streamStarted()) {
            breakOff("broken-off");
            return;
        }
        close();
        if (!status.equals(HttpResponseStatus.OK)) {
            log.notServed(this, status.codeAsText().toString());
        }
        metrics.requestAnswered(className, status);
        waitingCaller.answer(status, body, retryAfter);
    }

    /**
     * Breaks off the answer that is being streamed.
     *
     * @param result the result of its attempt
     */
    void streamFailed(Result result) {
        boolean unended = result == Result.TIMEOUT;
        metrics.failed(unended ? NodeMetrics.FailureReason.UNENDED_ANSWER
                : NodeMetrics.FailureReason.BROKEN_ANSWER);
        breakOff(unended ? "unended" : "broken-off");
    }

    private void breakOff(String end) {
        Caller waitingCaller = caller;
        close();
        log.notServed(this, end);
        metrics.requestAnswered(className, HttpResponseStatus.BAD_GATEWAY);
        waitingCaller.abort();
    }

    /** Rejects a request whose body turned out to be malformed; it counts for no class. */
    void reject(HttpResponseStatus status, ByteBuf body) {
        Caller waitingCaller = caller;
        if (waitingCaller != null && !streamStarted()) {
            close();
            log.notServed(this, status.codeAsText().toString());
            waitingCaller.answer(status, body, 0);
        }
    }

    /**
     * Starts to stream the answer of an attempt, which from now on ends it in time, and returns the sink for
     * its chunks.
     */
    ResponseSink startStream(int number, long length, Runnable onWritable) {
        streamedAttempt = number;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        caller.startStream(length, onWritable);
        return caller;
    }

    /** Ends a streamed answer that is complete. */
    void endStream() {
        Caller waitingCaller = caller;
        close();
        metrics.requestAnswered(className, HttpResponseStatus.OK);
        waitingCaller.endStream();
    }

    /** Marks that the caller has left without its answer. */
    void callerLeft() {
        close();
        log.notServed(this, "caller-left");
    }

    /** Marks that the caller no longer waits for an answer. */
    void close() {
        if (caller != null) {
            metrics.requestEnded();
        }
        caller = null;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
    }
}
