package cranedeal.lab.report;

import cranedeal.lab.history.Checker.Finding;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The figures of one run; the warm-up does not count. Shares are of all requests; latencies are those of
 * served requests, in milliseconds from when they were due.
 *
 * @param served the share that was served within its time
 * @param attempts how many attempts reached upstreams for each request that was served
 * @param lateMs the 99th percentile of how late the load generator sent what was due
 * @param before the share served before the first fault
 * @param complaints why the run has no verdict, or what did not hold; empty if all is well
 */
public record Summary(String experiment, Verdict verdict, List<String> complaints, long requests,
        double served, double refused, double failed, double lost, double attempts, double p50Ms,
        double p90Ms, double p99Ms, double maxMs, double lateMs, double before,
        Map<String, Double> servedByClass, List<Second> seconds, List<Recovery> faults, List<Return> returns,
        Map<String, Usage> processes, List<Finding> rules) {

    /** What a run shows. */
    public enum Verdict {
        /** All that must hold does. */
        HELD,
        /** Something that must hold does not. */
        BROKEN,
        /** The run shows nothing, as the lab itself was at fault. */
        VOID
    }

    /** The requests that were due in one second of the load; latencies NaN where none was served. */
    public record Second(int second, long requests, long served, long refused, double p50Ms, double p99Ms) { }

    /**
     * A fault, in milliseconds since the load began.
     *
     * @param recoveryMs from its end until the share served was back to that of before and stayed there for
     *     1.5 s, or until the load ended; NaN if it never was
     */
    public record Recovery(int fault, String title, double beginMs, double endMs, double recoveryMs) { }

    /**
     * A balancer's return, from the start of its process, in milliseconds.
     *
     * @param readyMs until it was ready
     * @param firstServedMs until it had served a request; NaN if it never did
     * @param fullShareMs until it had nine tenths of its even share of the requests for a second
     * @param metAgain how many of its attempts in the first 10 s were answered with 500
     */
    public record Return(String process, double startMs, double readyMs, double firstServedMs,
            double fullShareMs, long metAgain) { }

    /** What a process has used over the run: CPU in milliseconds, and its largest resident memory. */
    public record Usage(double cpuMs, long mostRssKb) { }

    /** With further things that did not hold. */
    public Summary with(List<String> broken) {
        List<String> all = new ArrayList<>(complaints);
        all.addAll(broken);
        Verdict now = verdict == Verdict.HELD && !broken.isEmpty() ? Verdict.BROKEN : verdict;
        return new Summary(experiment, now, all, requests, served, refused, failed, lost, attempts, p50Ms,
                p90Ms, p99Ms, maxMs, lateMs, before, servedByClass, seconds, faults, returns, processes,
                rules);
    }
}
