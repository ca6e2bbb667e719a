package cranedeal.lab.hollow;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums up the resource use of balancers from readings taken once per second, until a window is read. It has
 * no clock.
 */
public final class Meter {

    /**
     * The counters of one balancer process since its start. Bytes are those of datagrams and of the bodies of
     * full exchanges.
     */
    public record Reading(long datagrams, long bytesSent, long bytesReceived, long syncs) {

        private static final Reading NONE = new Reading(0, 0, 0, 0);

        /** Creates a reading from the metrics of membership. */
        public static Reading of(Map<String, Long> figures) {
            return new Reading(figures.get("fleet.datagrams_sent"),
                    figures.get("fleet.bytes_sent") + figures.get("fleet.call_bytes_sent"),
                    figures.get("fleet.bytes_received") + figures.get("fleet.call_bytes_received"),
                    figures.get("fleet.syncs"));
        }

        /** Returns the increase since an earlier reading; a counter that went down was reset by a restart. */
        private Reading since(Reading before) {
            Reading from = datagrams < before.datagrams || bytesReceived < before.bytesReceived ? NONE
                    : before;
            return new Reading(datagrams - from.datagrams, bytesSent - from.bytesSent,
                    bytesReceived - from.bytesReceived, syncs - from.syncs);
        }
    }

    /**
     * The totals since the previous window was read.
     *
     * @param balancerSeconds the number of running balancers, summed over the seconds
     * @param peakBytes the maximum bytes that one balancer sent and received in one second
     * @param peakBalancer the name of that balancer
     * @param cpuMs the CPU time of the process, garbage collector and JIT compiler included
     * @param peakCpuMs the maximum CPU time in one second, divided by the number of running balancers
     * @param lateMs the maximum delay of an event loop; far above about 10 ms the balancers no longer behave
     *     as they would in processes of their own
     */
    public record Window(int seconds, long balancerSeconds, long datagrams, long bytesSent,
            long bytesReceived, long syncs, long peakBytes, String peakBalancer, double cpuMs,
            double peakCpuMs, double lateMs) { }

    private final Map<String, Reading> last = new HashMap<>();
    private double lastCpuMs;
    private int seconds;
    private long balancerSeconds;
    private Reading sum = Reading.NONE;
    private long peakBytes;
    private String peakBalancer = "";
    private double cpuMs;
    private double peakCpuMs;
    private double maxLateMs;

    /**
     * Adds the readings of one second.
     *
     * @param readings those of the running balancers; a balancer left out starts from zero with its next one
     * @param processCpuMs the CPU time of the process since its start
     * @param lateMs the maximum delay of an event loop in this second
     */
    public void sample(Map<String, Reading> readings, double processCpuMs, double lateMs) {
        last.keySet().retainAll(readings.keySet());
        readings.forEach((name, now) -> {
            Reading before = last.put(name, now);
            add(name, now.since(before == null ? Reading.NONE : before));
        });
        maxLateMs = Math.max(maxLateMs, lateMs);
        seconds++;
        balancerSeconds += readings.size();
        cpuMs += processCpuMs - lastCpuMs;
        if (!readings.isEmpty()) {
            peakCpuMs = Math.max(peakCpuMs, (processCpuMs - lastCpuMs) / readings.size());
        }
        lastCpuMs = processCpuMs;
    }

    private void add(String name, Reading spent) {
        sum = new Reading(sum.datagrams + spent.datagrams, sum.bytesSent + spent.bytesSent,
                sum.bytesReceived + spent.bytesReceived, sum.syncs + spent.syncs);
        long bytes = spent.bytesSent + spent.bytesReceived;
        if (bytes > peakBytes) {
            peakBytes = bytes;
            peakBalancer = name;
        }
    }

    /** Returns the totals since the previous call and starts a new window. */
    public Window window() {
        Window window = new Window(seconds, balancerSeconds, sum.datagrams, sum.bytesSent, sum.bytesReceived,
                sum.syncs, peakBytes, peakBalancer, cpuMs, peakCpuMs,
                maxLateMs);
        seconds = 0;
        balancerSeconds = 0;
        sum = Reading.NONE;
        peakBytes = 0;
        peakBalancer = "";
        cpuMs = 0;
        peakCpuMs = 0;
        maxLateMs = 0;
        return window;
    }
}
