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
 * Watches discovery for changes of the list of upstreams: carries out on sockets what {@link WatchSchedule}
 * decides. Whatever goes wrong with a call, the old list holds, and the schedule calls again by itself.
 */
public final class DiscoveryClient {

    /** The longest that a watch waits for news, in ms; to go on with it costs discovery little. */
    public static final int MAX_WAIT_MS = 2_500;
    static final Logger LOG = Logger.getLogger("sablehinge");
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** How long the whole list is waited for where it is asked for on its own. */
    private static final long FETCH_TIMEOUT_MS = 60_000;
    private static final long NO_INDEX = -1;
    private static final double NANOS_PER_MS = 1e6;

    /** What the list is told to. */
    public interface Listener {

        /** A whole list, or what has changed. */
        void changed(UpstreamList list);

        /** A call has failed; the old list holds. */
        void callFailed(CallEnd how);
    }

    /**
     * What a client begins with.
     *
     * @param address where discovery listens
     * @param version of the list that is known
     * @param seed of the waits that are drawn
     * @param maxWaitMs the longest that a watch waits for news
     */
    public record Options(InetSocketAddress address, long version, long seed, int maxWaitMs) { }

    private final EventLoop loop;
    private final DoubleSupplier clock;
    private final ListParser parser;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final DiscoveryMetrics figures;
    private final WatchSchedule schedule;
    /** The calls of the watch that are out, by their numbers. */
    private final Map<Long, DiscoveryCall> calls = new HashMap<>();
    private InetSocketAddress address;
    /** Whether the list is to come on its own, as the settings have it; nobody hears of failures then. */
    private boolean pushed;
    /** A connection whose call was answered, for the next one; null if there is none. */
    private Channel idle;
    private Future<?> wake;

    /**
     * A client that does nothing yet.
     *
     * @param clock in milliseconds; it never goes back
     * @param start where discovery is, and what is known of the list
     */
    public DiscoveryClient(EventLoop loop, DoubleSupplier clock, Options start, ListParser parser,
            ByteBufAllocator memory, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.parser = parser;
        this.listener = listener;
        address = start.address();
        figures = new DiscoveryMetrics(clock, start.version(), LOG::info);
        schedule = new WatchSchedule(new Carrier(), start.maxWaitMs(), start.version(), start.seed());
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, memory).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        DiscoveryCall.prepare(channel.pipeline());
                    }
                });
    }

    /** What is counted of the calls, and the age of the list. */
    public DiscoveryMetrics figures() {
        return figures;
    }

    /** Keeps the watch open where settings have lists pushed, or leaves that to {@link #watch}. */
    public void setPushed(boolean on) {
        if (on != pushed) {
            pushed = on;
            schedule.setRetriesAtOnce(on);
            watch(on);
        }
    }

    /** Begins the watch, or ends it. */
    public void watch(boolean on) {
        schedule.watch(clock.getAsDouble(), on);
    }

    /** Calls at another address from now on. What is out at the old one would only be cut off. */
    public void moveTo(InetSocketAddress replaced) {
        if (replaced.equals(address)) {
            return;
        }
        address = replaced;
        if (idle != null) {
            idle.close();
            idle = null;
        }
        schedule.addressChanged(clock.getAsDouble());
    }

    /** Asks once for the whole list. */
    public void fetch() {
        Fetch fetch = new Fetch();
        fetch.call = new DiscoveryCall(0, NO_INDEX, 0, clock, parser, fetch);
        fetch.expiry = loop.schedule(() -> fetch.call.fail(CallEnd.TIMED_OUT), FETCH_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        figures.begun();
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

    /** Whether a list could be taken in; one that its listener can't take must not end the watch for good. */
    private boolean tell(UpstreamList list) {
        try {
            listener.changed(list);
            return true;
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "a list of upstreams could not be taken in", e);
            return false;
        }
    }

    private void tellFailure(CallEnd how) {
        if (!pushed) {
            listener.callFailed(how);
        }
    }

    private long nanosUntil(double at) {
        return (long) Math.ceil(Math.max(0, at - clock.getAsDouble()) * NANOS_PER_MS);
    }

    /** A loop that is late handles timers before it looks at its sockets, so what has come is read first. */
    private void wake() {
        List.copyOf(calls.values()).forEach(DiscoveryCall::readNow);
        schedule.timer(clock.getAsDouble());
    }

    /** Carries out what the schedule asks for. */
    private final class Carrier implements WatchSchedule.Actions {

        @Override
        public void call(long id, long index, int waitMs) {
            DiscoveryCall call = new DiscoveryCall(id, index, waitMs, clock, parser,
                    new Watching(id));
            calls.put(id, call);
            figures.begun();
            Channel connection = idle;
            idle = null;
            if (connection != null && connection.isActive()) {
                call.start(connection, address.getHostString());
            } else {
                connect(call);
            }
        }

        @Override
        public void giveUp(long id, CallEnd why) {
            DiscoveryCall call = calls.remove(id);
            call.giveUp();
            figures.ended(call.record(why));
            if (why.isFailure()) {
                loop.execute(() -> tellFailure(why));
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

    /** A call of the watch. */
    private final class Watching implements DiscoveryCall.Listener {

        private final long id;

        Watching(long id) {
            this.id = id;
        }

        @Override
        public void begun() {
            schedule.answerStarted(clock.getAsDouble(), id);
        }

        @Override
        public void answered(UpstreamList list) {
            DiscoveryCall call = calls.remove(id);
            keep(call.channel());
            boolean accepted = schedule.accepts(id, list.version(), list.full());
            figures.ended(call.record(accepted ? CallEnd.ANSWERED : CallEnd.OUTDATED));
            if (!accepted) {
                schedule.outdated(clock.getAsDouble(), id);
            } else if (tell(list)) {
                schedule.answered(clock.getAsDouble(), id, list.version(), !list.members().isEmpty());
            } else {
                schedule.failed(clock.getAsDouble(), id);
                tellFailure(CallEnd.BAD_ANSWER);
            }
            figures.confirmed(schedule.version(), schedule.confirmedAt());
        }

        @Override
        public void failed(CallEnd how) {
            figures.ended(calls.remove(id).record(how));
            schedule.failed(clock.getAsDouble(), id);
            tellFailure(how);
        }

        private void keep(Channel connection) {
            if (idle != null) {
                idle.close();
            }
            idle = connection;
        }
    }

    /** A call for the whole list, beside the watch. */
    private final class Fetch implements DiscoveryCall.Listener {

        private DiscoveryCall call;
        private Future<?> expiry;

        @Override
        public void begun() {
            // Nobody is in a hurry.
        }

        @Override
        public void answered(UpstreamList list) {
            expiry.cancel(false);
            // Changes are no answer to a call for the whole list, nor is one older than what is known.
            boolean taken = list.full() && list.version() >= schedule.version() && tell(list);
            figures.ended(call.record(taken ? CallEnd.ANSWERED : CallEnd.BAD_ANSWER));
            call.channel().close();
            if (!taken) {
                tellFailure(CallEnd.BAD_ANSWER);
            }
        }

        @Override
        public void failed(CallEnd how) {
            expiry.cancel(false);
            figures.ended(call.record(how));
            tellFailure(how);
        }
    }
}
