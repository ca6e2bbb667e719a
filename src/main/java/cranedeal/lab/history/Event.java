package cranedeal.lab.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * An event that one party of an experiment observed. Times are milliseconds since the experiment's start, on
 * the lab's own monotonic clock.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({@JsonSubTypes.Type(value = Event.Sent.class, name = "sent"),
    @JsonSubTypes.Type(value = Event.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = Event.Ended.class, name = "ended"),
    @JsonSubTypes.Type(value = Event.Arrived.class, name = "arrived"),
    @JsonSubTypes.Type(value = Event.UpstreamNotified.class, name = "told"),
    @JsonSubTypes.Type(value = Event.UpstreamStarted.class, name = "began"),
    @JsonSubTypes.Type(value = Event.LoadChanged.class, name = "loaded"),
    @JsonSubTypes.Type(value = Event.Faulted.class, name = "faulted"),
    @JsonSubTypes.Type(value = Event.ProcessChanged.class, name = "lived"),
    @JsonSubTypes.Type(value = Event.ProcessUsage.class, name = "used"),
    @JsonSubTypes.Type(value = Event.ViewsSampled.class, name = "viewed"),
    @JsonSubTypes.Type(value = Event.ControlCost.class, name = "spent"),
    @JsonSubTypes.Type(value = Event.HostUsage.class, name = "host")})
public sealed interface Event {

    /** How a try (one transmission of a request by its client) ended, as the client saw it. */
    enum End {
        /** Status 200 with its complete body. */
        SERVED,
        /** Status 429 or 503. */
        REFUSED,
        /** Any other answer. */
        FAILED,
        /** The connection ended before a complete answer. */
        BROKEN,
        /** No connection could be opened, or it ended before the request was written. */
        UNREACHABLE,
        /** No answer came until half a second after the deadline. */
        SILENT
    }

    /** State changes of a process. */
    enum Life { STARTED, READY, STOPPING, KILLED, PAUSED, RESUMED, EXITED }

    /** Time of the observation. */
    double at();

    /** A client has sent a try, which has its own id, of a request that was due at {@code due}. */
    record Sent(double at, String id, long request, String balancer, String serviceClass, double due,
            double deadline) implements Event { }

    /** A try has ended. */
    record Answered(double at, String id, long request, String balancer, End end, int status)
            implements Event { }

    /** A request has its final answer, that of its last try. The latency counts from its due time. */
    record Ended(double at, long request, String serviceClass, End end, int tries, double latency)
            implements Event { }

    /**
     * An attempt has arrived completely at an upstream, which accepted or rejected it.
     *
     * @param begun when its first byte arrived
     * @param work the time for which it occupies one core of nominal speed, in milliseconds
     * @param taken whether the upstream accepted it
     * @param failing whether the upstream will answer it with 500
     */
    record Arrived(double at, String id, String balancer, String upstream, String serviceClass, double begun,
            double work, boolean taken, boolean failing) implements Event { }

    /** Discovery has sent an upstream's state to a balancer. */
    record UpstreamNotified(double at, String balancer, String upstream, String state) implements Event { }

    /**
     * An upstream has started serving. It starts cold if {@code warmMs} is above 0.
     *
     * @param capacity the core milliseconds of work that it does per millisecond when warm
     * @param coldShare the share of the capacity that it has at its start
     */
    record UpstreamStarted(double at, String upstream, double capacity, double coldShare, double warmMs)
            implements Event { }

    /** The load has begun, or its last request has ended. */
    record LoadChanged(double at, boolean begins) implements Event { }

    /** A fault begins or ends; {@code touched} names affected processes, or links such as {@code n0>u3}. */
    record Faulted(double at, int fault, String kind, List<String> touched, boolean begins)
            implements Event { }

    /** A process has changed its state; {@code code} is its exit code if it has one. */
    record ProcessChanged(double at, String process, Life life, int code) implements Event { }

    /** CPU time that a process has used since its start, and its memory. */
    record ProcessUsage(double at, String process, double cpuMs, long rssKb) implements Event { }

    /**
     * How the members of a region see the fleet's membership.
     *
     * @param running the number of members of the region that run
     * @param reachable the number of running members that they can reach, themselves included
     * @param least the smallest number of members that one of them sees present
     * @param most the largest such number
     */
    record ViewsSampled(double at, String region, int running, int reachable, long least, long most)
            implements Event {

        /** Returns true if every member sees exactly the reachable members. */
        public boolean settled() {
            return running == 0 || least == reachable && most == reachable;
        }
    }

    /**
     * The cost of control traffic for some balancers over about a second. Bytes are those of datagrams and of
     * full exchanges.
     *
     * @param who all real balancers, or one process that runs hollow balancers
     * @param hollow whether the balancers are hollow
     * @param balancerSeconds the seconds of the period, summed over the balancers that ran
     * @param peakBytes the largest number of bytes that one balancer sent and received in a second
     * @param controlMs the CPU time of the membership threads
     * @param processMs the total CPU time of the processes
     * @param rssKb their total resident memory
     * @param lateMs the largest delay of an event loop that hollow balancers share
     */
    record ControlCost(double at, String who, boolean hollow, long balancerSeconds, long datagrams,
            long bytes,
            long syncs, long peakBytes, double controlMs, double processMs, long rssKb, double lateMs)
            implements Event { }

    /**
     * The load of the machine over about a second.
     *
     * @param busy the share of its cores' time that was used, by all processes
     * @param lateMs how late the lab's sample was taken
     * @param labMs the CPU time of the lab itself, including its simulated upstreams and links
     * @param labRssKb the lab's resident memory
     */
    record HostUsage(double at, double busy, double lateMs, double labMs, long labRssKb) implements Event { }
}
