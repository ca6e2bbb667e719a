/**
 * Simulates fleets of up to thousands of members in one process and in virtual time: the production
 * membership core on a network with loss, delays and partitions. It uses no sockets, clocks or threads.
 */
package cranedeal.lab.swarm;
