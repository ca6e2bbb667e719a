package cranedeal.lab.hollow;

import java.util.HashMap;
import java.util.Map;

/**
 * What balancers have spent, added up from readings a second apart, until it is asked for. It has no clock.
 */
public final class Meter {

    /**
     * What one process of a balancer has counted since it began; the bytes are those of datagrams and of the
     * bodies of full exchanges.
     */
    public record Reading(long datagrams, long bytesSent, long bytesReceived, long syncs) {

        private static final Reading NONE = new Reading(0, 0, 0, 0);

        /** By the figures of membership. */
        public static Reading of(Map<String, Long> figures) {
            return new Reading(figures.get("fleet.datagrams_sent"),
                    figures.get("fleet.bytes_sent") + figures.get("fleet.call_bytes_sent"),
                    figures.get("fleet.bytes_received") + figures.get("fleet.call_bytes_received"),
                    figures.get("fleet.syncs"));
        }

        /** What has come since an earlier one; a count that went back has begun anew. */
        private Reading since(Reading before) {
            Reading from = datagrams < before.datagrams || bytesReceived < before.bytesReceived ? NONE
                    : before;
            return new Reading(datagrams - from.datagrams, bytesSent - from.bytesSent,
                    bytesReceived - from.bytesReceived, syncs - from.syncs);
        }
    }

    /**
     * The seconds since it was asked last.
     *
     * @param balancerSeconds over how many balancers and seconds the sums go
     * @param peakBytes the most bytes that one balancer sent and received in one second
     * @param peakBalancer which one
     * @param cpuMs what the process used, its garbage collector and compiler too
     * @param peakCpuMs the most that it used in one second, by its balancers
     * @param lateMs the most that one of its loops was late: far over some ten, and what its balancers do is
     *     no longer what they would do each on its own
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
    private double mostLateMs;

    /**
     * Takes one second's readings in.
     *
     * @param readings of those that run; one that is left out begins anew with its next
     * @param processCpuMs what the process has used since it began
     * @param lateMs the most that one of its loops was late in this second
     */
    public void sample(Map<String, Reading> readings, double processCpuMs, double lateMs) {
        last.keySet().retainAll(readings.keySet());
        readings.forEach((name, now) -> {
            Reading before = last.put(name, now);
            add(name, now.since(before == null ? Reading.NONE : before));
        });
        mostLateMs = Math.max(mostLateMs, lateMs);
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

    /** What was spent since this was asked last. */
    public Window window() {
        Window window = new Window(seconds, balancerSeconds, sum.datagrams, sum.bytesSent, sum.bytesReceived,
                sum.syncs, peakBytes, peakBalancer, cpuMs, peakCpuMs,
                mostLateMs);
        seconds = 0;
        balancerSeconds = 0;
        sum = Reading.NONE;
        peakBytes = 0;
        peakBalancer = "";
        cpuMs = 0;
        peakCpuMs = 0;
        mostLateMs = 0;
        return window;
    }
}
