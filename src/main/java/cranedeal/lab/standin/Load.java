package cranedeal.lab.standin;

import java.util.List;
import java.util.Map;

/**
 * The load that clients generate, and how they retry and connect.
 *
 * @param ratePerS requests due per second, outside surges
 * @param warmUpMs the duration of the warm-up, in milliseconds: the same load, but not counted
 * @param durationMs the duration of the counted part, in milliseconds
 * @param tenants the tenants' relative shares of the traffic; may be empty
 * @param tries the maximum number of tries of a request, the first included
 * @param backoffMs the backoff before the first retry, in milliseconds; doubled for each further one
 * @param connectionLifeMs the mean lifetime of a connection, in milliseconds
 * @param connections the maximum number of open connections of all clients; too few make the run invalid
 */
public record Load(double ratePerS, double warmUpMs, double durationMs, List<ServiceClass> classes,
        Map<String, Double> tenants, List<Surge> surges, int tries, double backoffMs, double connectionLifeMs,
        int connections) {

    /** A period at {@code times} the usual rate; bounds in milliseconds since the counted load began. */
    public record Surge(double fromMs, double toMs, double times) { }

    double timesAt(double at) {
        return surges.stream().filter(surge -> surge.fromMs() <= at && at < surge.toMs())
                .mapToDouble(Surge::times).reduce(1, Math::max);
    }
}
