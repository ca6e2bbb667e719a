package cranedeal.node;

import cranedeal.LoadBalancer.Idempotency;
import cranedeal.LoadBalancer.Request;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses callers' requests for one configuration: their class, tenant, key and deadline. */
final class RequestParser {

    /** Upper bound on the remaining time that a caller can ask for, in seconds. */
    private static final double MAX_REMAINING_S = 3_600;
    private static final int MS_PER_S = 1_000;

    private final NodeConfig config;
    private final Map<String, Integer> classIndexes = new HashMap<>();

    RequestParser(NodeConfig config) {
        this.config = config;
        for (int i = 0; i < config.classes().size(); i++) {
            classIndexes.put(config.classes().get(i), i);
        }
    }

    /** Thrown for an invalid request; the message is sent to the caller. */
    static final class BadRequestException extends Exception {

        private static final long serialVersionUID = 1;

        private BadRequestException(String message) {
            super(message, null, false, false);
        }
    }

    /** Returns the name of the class that a request asks for, which the settings may not contain. */
    static String className(FullHttpRequest request) {
        return request.headers().get("X-Lane", firstPathSegment(request.uri()));
    }

    /** Returns true if the settings contain a class of this name. */
    boolean hasClass(String className) {
        return classIndexes.containsKey(className);
    }

    /** A request for the decision module, without its id. */
    record Template(int serviceClass, int tenant, long key, double deadline, double cost,
            boolean retry, boolean write) {

        Request withId(long id) {
            return new Request(id, serviceClass, tenant, key, deadline, cost, retry, write);
        }
    }

    /**
     * Parses a request.
     *
     * @param now when it arrived, in ms of the clock: its deadline counts from then
     * @throws BadRequestException if it is not a valid request to this service
     */
    Template parse(FullHttpRequest request, double now) throws BadRequestException {
        HttpHeaders headers = request.headers();
        Integer serviceClass = classIndexes.get(className(request));
        if (serviceClass == null) {
            throw new BadRequestException("unknown class");
        }
        if (headers.get("X-Txn", "").isBlank()) {
            throw new BadRequestException("X-Txn is missing");
        }
        Idempotency repeat = config.settings().classes().get(serviceClass).idempotency();
        boolean get = isGet(request);
        if (get != (repeat == Idempotency.IDEMPOTENT) || !get && !isPost(request)) {
            throw new BadRequestException("the class wants another method");
        }
        if (repeat == Idempotency.DEDUPLICATED && headers.get("Idempotency-Key", "").isBlank()) {
            throw new BadRequestException("Idempotency-Key is missing");
        }
        String tenant = headers.get("X-Org");
        int tenantIndex = config.tenants().isEmpty() || tenant == null ? 0 : config.tenants().indexOf(tenant);
        if (tenantIndex < 0) {
            throw new BadRequestException("unknown tenant");
        }
        double remaining = nonNegativeNumber(headers, "X-Remaining");
        if (Double.isNaN(remaining)) {
            throw new BadRequestException("X-Remaining is missing");
        }
        double estimate = nonNegativeNumber(headers, "X-Estimate");
        return new Template(serviceClass, tenantIndex, key(headers.get("Cookie")),
                now + Math.min(MAX_REMAINING_S, remaining) * MS_PER_S,
                Double.isNaN(estimate) ? 0 : estimate / MS_PER_S,
                "1".equals(headers.get("X-Resent")), !get);
    }

    static boolean isGet(FullHttpRequest request) {
        return request.method().equals(HttpMethod.GET);
    }

    static boolean isPost(FullHttpRequest request) {
        return request.method().equals(HttpMethod.POST);
    }

    private static String firstPathSegment(String uri) {
        List<String> parts = List.of(uri.split("[/?]", 3));
        return parts.size() > 1 ? parts.get(1) : "";
    }

    /** Returns the value of a header with a number of at least 0; NaN if the header is absent. */
    private static double nonNegativeNumber(HttpHeaders headers, String name) throws BadRequestException {
        String text = headers.get(name);
        if (text == null) {
            return Double.NaN;
        }
        try {
            double value = Double.parseDouble(text);
            if (Double.isFinite(value) && value >= 0) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like an out-of-range value.
        }
        throw new BadRequestException(name + " is no number of use");
    }

    /** Returns the key of a keyed request from the cookie {@code key}: a hex number or a hash; 0 for none. */
    private static long key(String cookies) {
        if (cookies == null) {
            return 0;
        }
        for (Cookie cookie : ServerCookieDecoder.LAX.decode(cookies)) {
            if (cookie.name().equals("key")) {
                try {
                    return Long.parseUnsignedLong(cookie.value(), 16);
                } catch (NumberFormatException e) {
                    return cookie.value().hashCode();
                }
            }
        }
        return 0;
    }
}
