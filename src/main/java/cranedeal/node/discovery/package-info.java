/**
 * The client of discovery: when it calls, how old the list in use is, and what is logged and counted of it.
 */
package cranedeal.node.discovery;
