package cranedeal.node;

import com.sun.management.ThreadMXBean;
import cranedeal.lab.slope.Point;
import cranedeal.lab.slope.SlopeReport;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Measures the CPU time and allocated memory of a piece of code on its thread, by the size of its input. */
final class ThreadCost {

    /** The code to measure. */
    interface Code {
        /** Runs once; the returned value keeps the compiler from eliminating the code. */
        Object run() throws IOException, ConfigException;
    }

    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int REPEATS = 5;
    /** The CPU time of the warm-up for each size; well above what the C1 compiler needs. */
    private static final long WARM_UP_NANOS = 500_000_000;
    /** The CPU time for each size in a repeat. */
    private static final long REPEAT_NANOS = 150_000_000;
    private static final double NANOS_PER_US = 1_000;

    private static Object lastResult;

    private ThreadCost() {
    }

    /** Adds {@code cpu-NAME} in microseconds and {@code garbage-NAME} in bytes to a report. */
    static void measure(SlopeReport report, String name, Map<Integer, Code> bySize)
            throws IOException, ConfigException {
        for (Code code : bySize.values()) {
            run(code, WARM_UP_NANOS);
        }
        Map<Integer, List<Double>> cpu = new LinkedHashMap<>();
        Map<Integer, List<Double>> bytes = new LinkedHashMap<>();
        // Sizes alternate, so that other load on the machine affects all of them alike.
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            for (Map.Entry<Integer, Code> entry : bySize.entrySet()) {
                double[] cost = run(entry.getValue(), REPEAT_NANOS);
                cpu.computeIfAbsent(entry.getKey(), absent -> new ArrayList<>()).add(cost[0]);
                bytes.computeIfAbsent(entry.getKey(), absent -> new ArrayList<>()).add(cost[1]);
            }
        }
        report.add("cpu-" + name, "us", SlopeReport.Basis.MEASURED, points(cpu));
        report.add("garbage-" + name, "bytes", SlopeReport.Basis.MEASURED, points(bytes));
    }

    /** Returns the microseconds and bytes per run. */
    private static double[] run(Code code, long nanos) throws IOException, ConfigException {
        long thread = Thread.currentThread().getId();
        long began = THREADS.getCurrentThreadCpuTime();
        long allocated = THREADS.getThreadAllocatedBytes(thread);
        int times = 0;
        long spent;
        do {
            lastResult = code.run();
            times++;
            spent = THREADS.getCurrentThreadCpuTime() - began;
        } while (spent < nanos);
        double allocatedBytes = THREADS.getThreadAllocatedBytes(thread) - allocated;
        return new double[] {spent / NANOS_PER_US / times, allocatedBytes / times};
    }

    static List<Point> points(Map<Integer, List<Double>> values) {
        return values.entrySet().stream().map(entry -> new Point(entry.getKey(), entry.getValue())).toList();
    }
}
