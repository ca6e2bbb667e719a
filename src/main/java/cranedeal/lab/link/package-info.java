/**
 * Emulated network links between two parties of the lab. {@link cranedeal.lab.link.Impairment} describes the
 * faults, {@link cranedeal.lab.link.Direction} computes delivery times without a clock, and the relays carry
 * the data.
 */
package cranedeal.lab.link;
