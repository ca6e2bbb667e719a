/**
 * Hollow balancers: what a balancer does for control (membership, the watch of discovery) over real sockets,
 * hundreds to a process, with no data path behind it. So a fleet can be played on one machine that has no
 * room for as many whole balancers.
 */
package cranedeal.lab.hollow;
