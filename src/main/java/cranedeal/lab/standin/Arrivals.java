package cranedeal.lab.standin;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Generates the requests of an open-loop load: a request's due time does not depend on the outcome of
 * earlier ones. Arrivals are a Poisson process whose rate surges can raise. The same seed gives the same
 * requests.
 */
final class Arrivals {

    private static final double MS_PER_S = 1_000;
    private static final double MAX_WORK_FACTOR = 3;

    private final Load load;
    private final RandomGenerator random;
    private final double classShares;
    private final double tenantShares;
    private double at;
    private long number;

    Arrivals(Load load, RandomGenerator random) {
        this.load = load;
        this.random = random;
        at = -load.warmUpMs();
        classShares = load.classes().stream().mapToDouble(ServiceClass::share).sum();
        tenantShares = load.tenants().values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /**
     * One generated request.
     *
     * @param due its due time, in milliseconds since the counted load began; negative in the warm-up
     * @param work the work that it takes, in milliseconds on a core of speed 1
     */
    record Arrival(long number, double due, ServiceClass serviceClass, String tenant, double work) { }

    /** Returns the next request, or null once the load is over. */
    Arrival next() {
        double highest = load.surges().stream().mapToDouble(Load.Surge::times).reduce(1, Math::max);
        do {
            at += exponential() * MS_PER_S / (load.ratePerS() * highest);
        } while (random.nextDouble() * highest > load.timesAt(at));
        if (at >= load.durationMs()) {
            return null;
        }
        number++;
        ServiceClass drawn = serviceClass();
        return new Arrival(number, at, drawn, tenant(),
                Math.min(exponential(), MAX_WORK_FACTOR) * drawn.workMs());
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    private ServiceClass serviceClass() {
        double left = random.nextDouble() * classShares;
        List<ServiceClass> classes = load.classes();
        for (ServiceClass candidate : classes) {
            left -= candidate.share();
            if (left < 0) {
                return candidate;
            }
        }
        return classes.get(classes.size() - 1);
    }

    private String tenant() {
        double left = random.nextDouble() * tenantShares;
        String last = null;
        for (Map.Entry<String, Double> tenant : load.tenants().entrySet()) {
            last = tenant.getKey();
            left -= tenant.getValue();
            if (left < 0) {
                break;
            }
        }
        return last;
    }
}
