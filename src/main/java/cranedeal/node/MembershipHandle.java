package cranedeal.node;

import java.util.Map;

/** This process's place among the members of a fleet. Nothing here waits for the network. */
interface MembershipHandle {

    /** How many descriptors it takes at most. */
    int DESCRIPTORS = 32;

    /** Leaves it to another process of this balancer. */
    void handOver();

    /** Tells the others that this balancer leaves. */
    void leave();

    /** The figures by their names. */
    Map<String, Long> metrics();
}
