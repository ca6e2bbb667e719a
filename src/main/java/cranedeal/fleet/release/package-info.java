/**
 * Staged releases: plans, stages, gates, and the controller that runs them and can halt and roll back. Uses
 * {@code membership} and {@code duty}.
 */
package cranedeal.fleet.release;
