package cranedeal.lab.standin;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The front: distributes clients' connections round-robin over the balancers that answer {@code GET /_health}
 * with 200. Health is polled at an interval, so a balancer's failure is noticed with a delay. All state is
 * confined to its event loop.
 */
public final class Front {

    /** A balancer and the address at which clients reach it. */
    public record Backend(String name, InetSocketAddress address) { }

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final Map<String, Backend> backends = new LinkedHashMap<>();
    private final List<Backend> available = new ArrayList<>();
    private final HttpClient http;
    private final long everyMs;
    private int turn;

    /** Creates a front that polls each balancer's health every {@code everyMs} milliseconds. */
    public Front(EventLoop loop, List<Backend> backends, long everyMs) {
        this.loop = loop;
        this.everyMs = everyMs;
        backends.forEach(backend -> this.backends.put(backend.name(), backend));
        http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT)
                .executor(loop).build();
    }

    /** Starts polling. */
    public void start() {
        loop.scheduleAtFixedRate(() -> backends.values().forEach(this::ask), 0, everyMs,
                TimeUnit.MILLISECONDS);
    }

    private void ask(Backend backend) {
        status(http, "http:/" + backend.address() + "/_health").thenAcceptAsync(
                status -> take(backend.name(), status == 200), loop);
    }

    /** Adds a balancer to the rotation, or removes it so that it gets no new connections. */
    public void take(String name, boolean in) {
        if (!loop.inEventLoop()) {
            loop.execute(() -> take(name, in));
            return;
        }
        Backend backend = backends.get(name);
        if (!in) {
            available.remove(backend);
        } else if (!available.contains(backend)) {
            available.add(backend);
        }
    }

    /** Returns the balancer that gets the next connection, or null if none is available. */
    Backend next() {
        turn++;
        return available.isEmpty() ? null : available.get(Math.floorMod(turn, available.size()));
    }

    /** Sends a GET; the result is the response's status, or -1 if there was no answer. */
    public static CompletableFuture<Integer> status(HttpClient http, String uri) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri)).timeout(TIMEOUT).build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .handle((answer, failure) -> failure == null ? answer.statusCode() : -1);
    }

    /** Returns the body that a process's admin endpoint answers; throws {@link IOException} if none comes. */
    public static String read(HttpClient http, String uri) throws IOException, InterruptedException {
        return http.send(HttpRequest.newBuilder(URI.create(uri)).timeout(TIMEOUT).build(),
                HttpResponse.BodyHandlers.ofString()).body();
    }
}
