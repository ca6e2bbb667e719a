/**
 * Membership of the fleet: a failure detector and each process's view of the members. Views may differ from
 * process to process, so nothing that must be exclusive or durable is decided here, and the decision module
 * does not depend on it. Uses no other package of the fleet.
 */
package cranedeal.fleet.membership;
