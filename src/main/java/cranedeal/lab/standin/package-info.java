/**
 * Stand-ins for the systems around the balancer, written from the platform's documents: upstreams, discovery,
 * the front that distributes connections, and the clients. The logic of an upstream's queue and of the list
 * is in classes without sockets or clocks; the servers and clients around them use Netty.
 */
package cranedeal.lab.standin;
