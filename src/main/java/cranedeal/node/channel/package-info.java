/** Helpers around Netty's channels. */
package cranedeal.node.channel;
