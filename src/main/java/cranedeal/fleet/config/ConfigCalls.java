package cranedeal.fleet.config;

import cranedeal.fleet.membership.CallReply;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** The HTTP calls about configuration, between members and from operators. */
public final class ConfigCalls {

    /** {@code GET}: the configuration state of a process. */
    public static final String STATUS = "/fleet/config/status";
    /** {@code POST} to a coordinator: publishes the document in the body. */
    public static final String PUBLISH = "/fleet/config/publish";
    /** {@code POST} to a coordinator: publishes the document of an earlier version again. */
    public static final String ROLLBACK = "/fleet/config/rollback";
    /** {@code POST} to a coordinator: makes it the leader. */
    public static final String TAKE_OVER = "/fleet/config/take-over";
    /** {@code GET}: the newest manifest, if later than a given version; a section by its checksum. */
    static final String MANIFEST = "/fleet/config/manifest";
    static final String SECTION = "/fleet/config/section";
    /** Between coordinators. */
    static final String PREPARE = "/fleet/config/prepare";
    static final String APPEND = "/fleet/config/append";

    static final int NO_CONTENT = 204;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int NOT_ALLOWED = 405;
    static final int CONFLICT = 409;
    static final int UNPROCESSABLE = 422;
    static final int UNAVAILABLE = 503;

    private ConfigCalls() {
    }

    static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static String parameter(QueryStringDecoder uri, String name) {
        return uri.parameters().getOrDefault(name, List.of("")).get(0);
    }

    static CompletionStage<CallReply> completed(CallReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    static CallReply manifestReply(Manifest newest, QueryStringDecoder uri) {
        try {
            VersionId afterId = VersionId.parse(parameter(uri, "after"));
            return newest == null || !newest.id().isAfter(afterId)
                    ? CallReply.empty(NO_CONTENT)
                    : CallReply.json(CallReply.OK, newest.bytes());
        } catch (IllegalArgumentException e) {
            return CallReply.text(BAD_REQUEST, e.getMessage());
        }
    }

    static CallReply sectionReply(byte[] section) {
        return section == null ? CallReply.text(NOT_FOUND, "no such section")
                : CallReply.json(CallReply.OK, section);
    }
}
