package cranedeal.node.discovery;

import cranedeal.node.channel.Channels;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Watches discovery for changes of the list of upstreams: performs the calls that {@link WatchSchedule}
 * decides on. If a call fails, the old list stays in force, and the schedule retries by itself.
 */
public final class DiscoveryClient {

    /**
     * The longest time that a watch call waits for changes, in ms; renewing the call costs discovery little.
     */
    public static final int MAX_WAIT_MS = 2_500;
    static final Logger LOG = Logger.getLogger("sablehinge");
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** The timeout of a separate call for the whole list. */
    private static final long FETCH_TIMEOUT_MS = 60_000;
    private static final long NO_INDEX = -1;
    private static final double NANOS_PER_MS = 1e6;

    /** Receives lists and failures. */
    public interface Listener {

        /** A whole list or a list of changes has arrived. */
        void changed(UpstreamList list);

        /** A call has failed; the old list stays in force. */
        void callFailed(CallEnd how);
    }

    /**
     * The options of a client.
     *
     * @param address the address of discovery
     * @param version the version of the list known at the start
     * @param seed the seed of the random jitter of waits
     * @param maxWaitMs the longest time that a watch call waits for changes
     */
    public record Options(InetSocketAddress address, long version, long seed, int maxWaitMs) { }

    private final EventLoop loop;
    private final DoubleSupplier clock;
    private final ListParser parser;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final DiscoveryMetrics metrics;
    private final WatchSchedule schedule;
    /** The calls of the watch in flight, by their ids. */
    private final Map<Long, DiscoveryCall> calls = new HashMap<>();
    private InetSocketAddress address;
    /** Whether the settings say that lists are pushed; the listener is not notified of failures then. */
    private boolean pushed;
    /** A connection kept for the next call; null if there is none. */
    private Channel idle;
    private Future<?> wake;

    /**
     * Creates a client that makes no calls yet.
     *
     * @param clock a monotonic clock in milliseconds
     * @param start the address of discovery and the version of the known list
     */
    public DiscoveryClient(EventLoop loop, DoubleSupplier clock, Options start, ListParser parser,
            ByteBufAllocator allocator, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.parser = parser;
        this.listener = listener;
        address = start.address();
        metrics = new DiscoveryMetrics(clock, start.version(), LOG::info);
        schedule = new WatchSchedule(new ScheduleActions(), start.maxWaitMs(), start.version(), start.seed());
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, allocator).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        DiscoveryCall.prepare(channel.pipeline());
                    }
                });
    }

    /** The metrics of the calls and of the list's age. */
    public DiscoveryMetrics metrics() {
        return metrics;
    }

    /**
     * Keeps the watch open if the settings say that lists are pushed; otherwise {@link #watch} controls it.
     */
    public void setPushed(boolean on) {
        if (on != pushed) {
            pushed = on;
            schedule.setConstantRetry(on);
            watch(on);
        }
    }

    /** Starts or ends the watch. */
    public void watch(boolean on) {
        schedule.watch(clock.getAsDouble(), on);
    }

    /** Uses another address from now on. Calls in flight to the old address are cancelled. */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        if (idle != null) {
            idle.close();
            idle = null;
        }
        schedule.addressChanged(clock.getAsDouble());
    }

    /** Requests the whole list once. */
    public void fetch() {
        FetchListener fetch = new FetchListener();
        fetch.call = new DiscoveryCall(0, NO_INDEX, 0, clock, parser, fetch);
        fetch.expiry = loop.schedule(() -> fetch.call.fail(CallEnd.TIMED_OUT), FETCH_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        metrics.callStarted();
        connect(fetch.call);
    }

    private void connect(DiscoveryCall call) {
        ChannelFuture connect = Channels.connect(bootstrap, address);
        if (connect == null) {
            loop.execute(() -> call.fail(CallEnd.NOT_CONNECTED));
        } else {
            call.start(connect, address.getHostString());
        }
    }

    /** Returns false if the listener throws an exception for a list, which must not end the watch. */
    private boolean notifyListener(UpstreamList list) {
        try {
            listener.changed(list);
            return true;
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a list of upstreams could not be applied", e);
            return false;
        }
    }

    private void notifyFailure(CallEnd how) {
        if (!pushed) {
            listener.callFailed(how);
        }
    }

    private long nanosUntil(double at) {
        return (long) Math.ceil(Math.max(0, at - clock.getAsDouble()) * NANOS_PER_MS);
    }

    /**
     * A late loop runs its timers before it polls its sockets, so data that has arrived is read here first.
     */
    private void wake() {
        List.copyOf(calls.values()).forEach(DiscoveryCall::readNow);
        schedule.timer(clock.getAsDouble());
    }

    /** Performs the actions of the schedule. */
    private final class ScheduleActions implements WatchSchedule.Actions {

        @Override
        public void call(long id, long index, int waitMs) {
            DiscoveryCall call = new DiscoveryCall(id, index, waitMs, clock, parser,
                    new WatchCallListener(id));
            calls.put(id, call);
            metrics.callStarted();
            Channel connection = idle;
            idle = null;
            if (connection != null && connection.isActive()) {
                call.start(connection, address.getHostString());
            } else {
                connect(call);
            }
        }

        @Override
        public void cancel(long id, CallEnd why) {
            DiscoveryCall call = calls.remove(id);
            call.cancel();
            metrics.callEnded(call.record(why));
            if (why.isFailure()) {
                loop.execute(() -> notifyFailure(why));
            }
        }

        @Override
        public void wakeAt(double at) {
            if (wake != null) {
                wake.cancel(false);
            }
            wake = at == Double.POSITIVE_INFINITY ? null
                    : loop.schedule(DiscoveryClient.this::wake, nanosUntil(at), TimeUnit.NANOSECONDS);
        }
    }

    /** Handles the events of a watch call. */
    private final class WatchCallListener implements DiscoveryCall.Listener {

        private final long id;

        WatchCallListener(long id) {
            this.id = id;
        }

        @Override
        public void answerStarted() {
            schedule.answerStarted(clock.getAsDouble(), id);
        }

        @Override
        public void answered(UpstreamList list) {
            DiscoveryCall call = calls.remove(id);
            keep(call.channel());
            boolean accepted = schedule.accepts(id, list.version(), list.full());
            metrics.callEnded(call.record(accepted ? CallEnd.ANSWERED : CallEnd.OUTDATED));
            if (!accepted) {
                schedule.outdated(clock.getAsDouble(), id);
            } else if (notifyListener(list)) {
                schedule.answered(clock.getAsDouble(), id, list.version(), !list.members().isEmpty());
            } else {
                schedule.failed(clock.getAsDouble(), id);
                notifyFailure(CallEnd.BAD_ANSWER);
            }
            metrics.listConfirmed(schedule.version(), schedule.confirmedAt());
        }

        @Override
        public void failed(CallEnd how) {
            metrics.callEnded(calls.remove(id).record(how));
            schedule.failed(clock.getAsDouble(), id);
            notifyFailure(how);
        }

        private void keep(Channel connection) {
            if (idle != null) {
                idle.close();
            }
            idle = connection;
        }
    }

    /** A separate call for the whole list, and the handling of its events. */
    private final class FetchListener implements DiscoveryCall.Listener {

        private DiscoveryCall call;
        private Future<?> expiry;

        @Override
        public void answerStarted() {
            // The call has only its overall timeout.
        }

        @Override
        public void answered(UpstreamList list) {
            expiry.cancel(false);
            // Only a whole list that is no older than the known one is a valid answer.
            boolean accepted = list.full() && list.version() >= schedule.version() && notifyListener(list);
            metrics.callEnded(call.record(accepted ? CallEnd.ANSWERED : CallEnd.BAD_ANSWER));
            call.channel().close();
            if (!accepted) {
                notifyFailure(CallEnd.BAD_ANSWER);
            }
        }

        @Override
        public void failed(CallEnd how) {
            expiry.cancel(false);
            metrics.callEnded(call.record(how));
            notifyFailure(how);
        }
    }
}
