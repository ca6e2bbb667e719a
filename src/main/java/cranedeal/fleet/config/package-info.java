/**
 * The configuration of the fleet: versions stored by coordinators and applied by members. {@link
 * cranedeal.fleet.config.ConfigLog} is a coordinator's side and {@link cranedeal.fleet.config.ConfigFollower}
 * a member's, both without socket, clock, thread or file. The data path never waits for it. Uses membership,
 * whose datagrams announce the newest version, and the store.
 */
package cranedeal.fleet.config;
