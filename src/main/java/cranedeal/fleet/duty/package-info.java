/**
 * Tasks that only one process may perform at a time: leases, epochs, and the coordinators' state machine that
 * grants them. Decisions that need a majority belong here. Uses {@code store}.
 */
package cranedeal.fleet.duty;
