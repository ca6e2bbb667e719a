package cranedeal.lab.hollow;

import java.util.List;

/**
 * What a process of hollow balancers is told, as JSON. Addresses are loopback ones with their port.
 *
 * @param control where the lab calls it
 * @param fleet the name of the fleet
 * @param periodMs how often each probes another member, in milliseconds
 * @param loops over how many event loops its balancers are dealt out
 * @param seeds where members are found at first, as others are told to reach them
 */
public record HollowConfig(String control, String fleet, int periodMs, int loops, List<String> seeds,
        List<Balancer> balancers) {

    /**
     * One hollow balancer.
     *
     * @param listen where its datagrams and calls come in
     * @param advertise where the others are told to reach it
     * @param config the file of a balancer's whole configuration, by which it watches discovery; null if it
     *     does not
     */
    public record Balancer(String name, String listen, String advertise, String config) { }
}
