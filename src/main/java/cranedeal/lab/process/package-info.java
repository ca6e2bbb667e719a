/**
 * The processes that an experiment starts: signals, termination together with the lab, memory and CPU usage,
 * and damage to their folders while they are down.
 */
package cranedeal.lab.process;
