package cranedeal.node;

import java.util.Map;

/** This process's membership of a fleet. No method blocks on the network. */
interface MembershipHandle {

    /** The maximum number of descriptors that it uses. */
    int DESCRIPTORS = 32;

    /** Hands the membership over to another process of this balancer. */
    void handOver();

    /** Announces to the other members that this balancer leaves. */
    void leave();

    /** The metrics by name. */
    Map<String, Long> metrics();
}
