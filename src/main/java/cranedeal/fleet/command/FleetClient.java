package cranedeal.fleet.command;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

/**
 * Calls processes of a fleet over HTTP. A call's time limit is for all of it: the one of {@link HttpRequest}
 * ends with the head of the answer, whose body may never end.
 */
final class FleetClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private final Duration timeout;
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT).build();

    /**
     * Creates a client.
     *
     * @param timeout for a call, from its start to the last byte of the answer
     */
    FleetClient(Duration timeout) {
        this.timeout = timeout;
    }

    /**
     * Starts a {@code GET} call; it completes with a failure if there is no whole answer in time.
     *
     * @param address IP address and port
     * @throws IllegalArgumentException if that is no address with a port
     */
    CompletableFuture<HttpResponse<byte[]>> get(String address, String path) {
        return send(HttpRequest.newBuilder(uri(address, path)).build());
    }

    /** Makes a {@code POST} call; fails with an {@link IOException} if there is no whole answer in time. */
    HttpResponse<byte[]> post(String address, String path, byte[] body) throws IOException {
        try {
            return send(HttpRequest.newBuilder(uri(address, path))
                    .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build()).join();
        } catch (CompletionException e) {
            throw new IOException("no answer from " + address, e);
        }
    }

    private static URI uri(String address, String path) {
        return URI.create("http://" + address + path);
    }

    private CompletableFuture<HttpResponse<byte[]>> send(HttpRequest request) {
        CompletableFuture<HttpResponse<byte[]>> exchange =
                http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
        return exchange.copy().orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .whenComplete((response, failure) -> exchange.cancel(true));
    }
}
