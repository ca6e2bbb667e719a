/** Logs whose volume is bounded. */
package cranedeal.node.log;
