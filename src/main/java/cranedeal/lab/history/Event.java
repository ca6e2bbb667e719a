package cranedeal.lab.history;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * Something that one of the parties saw. Times are milliseconds since the experiment's start, on the lab's
 * own clock, which never goes back.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
@JsonSubTypes({@JsonSubTypes.Type(value = Event.Sent.class, name = "sent"),
    @JsonSubTypes.Type(value = Event.Answered.class, name = "answered"),
    @JsonSubTypes.Type(value = Event.Ended.class, name = "ended"),
    @JsonSubTypes.Type(value = Event.Arrived.class, name = "arrived"),
    @JsonSubTypes.Type(value = Event.Told.class, name = "told"),
    @JsonSubTypes.Type(value = Event.Began.class, name = "began"),
    @JsonSubTypes.Type(value = Event.Loaded.class, name = "loaded"),
    @JsonSubTypes.Type(value = Event.Faulted.class, name = "faulted"),
    @JsonSubTypes.Type(value = Event.Lived.class, name = "lived"),
    @JsonSubTypes.Type(value = Event.Used.class, name = "used"),
    @JsonSubTypes.Type(value = Event.Viewed.class, name = "viewed"),
    @JsonSubTypes.Type(value = Event.Spent.class, name = "spent"),
    @JsonSubTypes.Type(value = Event.Host.class, name = "host")})
public sealed interface Event {

    /** How a try ended, as its client saw it. */
    enum End {
        /** A 200 with its body. */
        SERVED,
        /** 429 or 503. */
        REFUSED,
        /** Any other answer. */
        FAILED,
        /** The connection ended without a whole answer. */
        BROKEN,
        /** No connection came up, or it ended before the request was written. */
        UNREACHABLE,
        /** No answer came, not even half a second after its time. */
        SILENT
    }

    /** What happens to a process. */
    enum Life { STARTED, READY, STOPPING, KILLED, PAUSED, RESUMED, EXITED }

    /** When it was seen. */
    double at();

    /** A client has sent a try, with an id of its own, of a request that was due at {@code due}. */
    record Sent(double at, String id, long request, String balancer, String serviceClass, double due,
            double deadline) implements Event { }

    /** A try has its end. */
    record Answered(double at, String id, long request, String balancer, End end, int status)
            implements Event { }

    /** A request has its final answer: that of its last try; the latency counts from when it was due. */
    record Ended(double at, long request, String serviceClass, End end, int tries, double latency)
            implements Event { }

    /**
     * An attempt has come whole to an upstream, and was taken in or turned away.
     *
     * @param begun when its first byte came
     * @param work how long it occupies one core of nominal speed, in milliseconds
     * @param failing whether the upstream will answer it with 500
     */
    record Arrived(double at, String id, String balancer, String upstream, String serviceClass, double begun,
            double work, boolean taken, boolean failing) implements Event { }

    /** Discovery has written an upstream's state to a balancer. */
    record Told(double at, String balancer, String upstream, String state) implements Event { }

    /**
     * An upstream serves from now on; cold at first, if {@code warmMs} is above 0.
     *
     * @param capacity the cores' work in milliseconds that it does in a millisecond when warm
     * @param coldShare the share of it that it has at first
     */
    record Began(double at, String upstream, double capacity, double coldShare, double warmMs)
            implements Event { }

    /** The load begins, or its last request has ended. */
    record Loaded(double at, boolean begins) implements Event { }

    /** A fault begins or ends; {@code touched} are processes, or links such as {@code n0>u3}. */
    record Faulted(double at, int fault, String kind, List<String> touched, boolean begins)
            implements Event { }

    /** Something has happened to a process; {@code code} is its exit code where it has one. */
    record Lived(double at, String process, Life life, int code) implements Event { }

    /** What a process has used: CPU time since its start, and memory. */
    record Used(double at, String process, double cpuMs, long rssKb) implements Event { }

    /**
     * What the members of a region see of the fleet.
     *
     * @param running how many of them run
     * @param reachable how many members run that they can reach, themselves among them
     * @param least the fewest that one of them sees present; likewise {@code most}
     */
    record Viewed(double at, String region, int running, int reachable, long least, long most)
            implements Event {

        /** Whether each of them sees as many as there are. */
        public boolean settled() {
            return running == 0 || least == reachable && most == reachable;
        }
    }

    /**
     * What control cost some balancers in about a second; bytes are those of datagrams and of full exchanges.
     *
     * @param who whose: all real balancers, or one process of hollow ones
     * @param hollow whether those
     * @param balancerSeconds the sum of the seconds, over those that ran
     * @param peakBytes the most that one of them sent and received in a second
     * @param controlMs the CPU time of the threads of membership
     * @param processMs the CPU time of the processes, whatever they did
     * @param rssKb their resident memory together
     * @param lateMs the most that a loop was late which hollow balancers share
     */
    record Spent(double at, String who, boolean hollow, long balancerSeconds, long datagrams, long bytes,
            long syncs, long peakBytes, double controlMs, double processMs, long rssKb, double lateMs)
            implements Event { }

    /**
     * What the machine did in about a second.
     *
     * @param busy the share of its cores' time that was used, by whomever
     * @param lateMs how much later than it should the lab looked
     * @param labMs the CPU time of the lab itself, its stand-ins and links
     * @param labRssKb the lab's resident memory
     */
    record Host(double at, double busy, double lateMs, double labMs, long labRssKb) implements Event { }
}
