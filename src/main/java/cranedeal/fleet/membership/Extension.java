package cranedeal.fleet.membership;

import java.util.Map;
import java.util.concurrent.CompletionStage;

/** A further service on a member's address. All methods are called on the member's event loop. */
public interface Extension {

    /** Called when the member starts. It may still wait for its address, as during an upgrade. */
    void starting();

    /** Called once the member has bound its address and takes part. */
    void started();

    /** Called for the configuration notice in another member's own datagram. */
    void noticeReceived(Member from, VersionNotice notice);

    /**
     * Answers a call; returns null if the path is unknown.
     *
     * @param uri path and query
     */
    CompletionStage<CallReply> answer(String method, String uri, byte[] body);

    /** The metric values by name. */
    Map<String, Long> metrics();
}
