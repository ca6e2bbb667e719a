/** Memory that a node's buffers use, and the bounds on what its peers can make it hold. */
package cranedeal.node.memory;
