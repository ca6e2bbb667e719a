package cranedeal.lab.report;

import cranedeal.lab.history.Checker.Finding;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The results of one run, without its warm-up. Shares are of all requests; latencies are those of
 * served requests, in milliseconds from when they were due.
 *
 * @param served the share that was served within its deadline
 * @param attempts the number of attempts that reached upstreams per served request
 * @param lateMs the 99th percentile of how late the load generator sent requests
 * @param before the share served before the first fault
 * @param complaints the reasons why the run is void, or the violations; empty if there are none
 */
public record Summary(String experiment, Verdict verdict, List<String> complaints, long requests,
        double served, double refused, double failed, double lost, double attempts, double p50Ms,
        double p90Ms, double p99Ms, double maxMs, double lateMs, double before,
        Map<String, Double> servedByClass, List<Second> seconds, List<Recovery> faults, List<Return> returns,
        Map<String, Usage> processes, List<Finding> rules) {

    /** The verdict on a run. */
    public enum Verdict {
        /** All rules and bounds were kept. */
        HELD,
        /** A rule or a bound was violated. */
        BROKEN,
        /** The run is void because the lab itself failed or was overloaded. */
        VOID
    }

    /** The requests that were due in one second of the load; latencies are NaN if none was served. */
    public record Second(int second, long requests, long served, long refused, double p50Ms, double p99Ms) { }

    /**
     * A fault, in milliseconds since the load began.
     *
     * @param recoveryMs the time from its end until the share served returned to its value before the faults
     *     and stayed there for 1.5 s, or until the load ended; NaN if it never did
     */
    public record Recovery(int fault, String title, double beginMs, double endMs, double recoveryMs) { }

    /**
     * A balancer's return to service. Times count from the start of its process, in milliseconds.
     *
     * @param startMs when its process started, since the load began
     * @param readyMs the time until it was ready
     * @param firstServedMs the time until it had served a request; NaN if it never did
     * @param fullShareMs the time until it had received nine tenths of an even share of the requests for a
     *     second
     * @param metAgain the number of its attempts that were answered with 500, until 10 s after it was ready
     */
    public record Return(String process, double startMs, double readyMs, double firstServedMs,
            double fullShareMs, long metAgain) { }

    /** The CPU time in milliseconds that a process used over the run, and its peak resident memory. */
    public record Usage(double cpuMs, long mostRssKb) { }

    /** Returns a copy with further violations. */
    public Summary with(List<String> broken) {
        List<String> all = new ArrayList<>(complaints);
        all.addAll(broken);
        Verdict now = verdict == Verdict.HELD && !broken.isEmpty() ? Verdict.BROKEN : verdict;
        return new Summary(experiment, now, all, requests, served, refused, failed, lost, attempts, p50Ms,
                p90Ms, p99Ms, maxMs, lateMs, before, servedByClass, seconds, faults, returns, processes,
                rules);
    }
}
