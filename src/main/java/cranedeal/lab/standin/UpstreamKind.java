package cranedeal.lab.standin;

/**
 * A machine type of upstreams.
 *
 * @param count the number of upstreams of this type
 * @param cores how many requests are processed at the same time
 * @param speed the work that a core does, in milliseconds of work per millisecond
 * @param queue the maximum number of queued requests; further ones are rejected
 * @param coldShare the share of full capacity right after a cold start
 * @param warmMs the duration of the warm-up, in milliseconds
 * @param errorRate the share of requests that are answered with 500
 * @param connections the connection limit; requests on connections beyond it are rejected
 */
public record UpstreamKind(String name, int count, int cores, double speed, int queue, double coldShare,
        double warmMs, double errorRate, int connections) {

    /** Returns the work that it does when warm, in milliseconds of work per millisecond. */
    public double capacity() {
        return cores * speed;
    }
}
