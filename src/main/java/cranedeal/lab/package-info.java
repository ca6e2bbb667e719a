/**
 * Experiments with several processes of the program: simulated clients, front, upstreams, discovery and
 * platform, links with faults between all parties, load, checkers over the recorded history, and reports. The
 * package holds code that runs experiments or measures; production code must not use it. The logic (an
 * impairment, an upstream's queue, the list, a checker, the drawing and shrinking of faults) has no socket,
 * clock or thread; the classes around it run on Netty's event loops.
 */
package cranedeal.lab;
