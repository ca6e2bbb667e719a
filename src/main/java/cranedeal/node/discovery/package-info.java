/**
 * The client of discovery: the schedule of its calls, the age of the list in use, and their logs and metrics.
 */
package cranedeal.node.discovery;
