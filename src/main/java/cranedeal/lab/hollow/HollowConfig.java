package cranedeal.lab.hollow;

import java.util.List;

/**
 * The configuration of a process of hollow balancers, as JSON. Addresses are loopback addresses with a port.
 *
 * @param control the address at which the lab calls the process
 * @param fleet the name of the fleet
 * @param periodMs the probe period of each member, in milliseconds
 * @param loops the number of event loops over which the balancers are distributed
 * @param seeds the advertised addresses of the members to join through
 */
public record HollowConfig(String control, String fleet, int periodMs, int loops, List<String> seeds,
        List<Balancer> balancers) {

    /**
     * One hollow balancer.
     *
     * @param listen the address that receives its datagrams and calls
     * @param advertise the address at which the other members reach it
     * @param config the file of a balancer's complete configuration, for its discovery watch; null for no
     *     watch
     */
    public record Balancer(String name, String listen, String advertise, String config) { }
}
