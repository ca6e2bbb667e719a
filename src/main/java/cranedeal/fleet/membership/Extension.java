package cranedeal.fleet.membership;

import java.util.Map;
import java.util.concurrent.CompletionStage;

/** What else a member does for its fleet, over the same address. All of it on the member's loop. */
public interface Extension {

    /** The member starts; it may have to wait for its address, as in an upgrade. */
    void starting();

    /** The member has its address, and takes part. */
    void started();

    /** Another member tells, itself, of the configuration that it has. */
    void noticeReceived(Member from, VersionNotice notice);

    /**
     * Answers a call; null if there is no such call.
     *
     * @param uri path and query
     */
    CompletionStage<CallReply> answer(String method, String uri, byte[] body);

    /** The figures by their names. */
    Map<String, Long> metrics();
}
