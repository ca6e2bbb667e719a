/**
 * Hollow balancers: the control side of a balancer (membership, the discovery watch) over real sockets,
 * without the data path, hundreds per process. A large fleet can so run on one machine that could not hold as
 * many complete balancers.
 */
package cranedeal.lab.hollow;
