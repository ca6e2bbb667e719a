/**
 * The configuration of the fleet: versions that coordinators keep and members go by. {@link
 * cranedeal.fleet.config.ConfigLog} is a coordinator's side and {@link cranedeal.fleet.config.ConfigFollower}
 * a member's, both without socket, clock, thread or file. No data path waits for any of it. Uses membership,
 * whose datagrams tell of the newest version, and the store.
 */
package cranedeal.fleet.config;
