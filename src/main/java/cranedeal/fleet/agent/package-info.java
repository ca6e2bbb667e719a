/**
 * Manages the processes and program versions of one machine: starts, monitors, upgrades and rolls back. Uses
 * {@code store} and {@code membership}.
 */
package cranedeal.fleet.agent;
