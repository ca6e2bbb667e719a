package cranedeal.node;

import cranedeal.node.discovery.CallEnd;
import cranedeal.node.discovery.DiscoveryClient;
import cranedeal.node.discovery.UpstreamList;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.LongConsumer;

/**
 * A balancer's watch of discovery without the balancer, for measuring what it costs there and on the way. It
 * is {@link DiscoveryClient} as the program has it, with the list pushed.
 */
public final class DiscoveryWatch implements AutoCloseable {

    private final EventLoop loop;
    private final DiscoveryClient client;

    private DiscoveryWatch(EventLoop loop, DiscoveryClient client) {
        this.loop = loop;
        this.client = client;
    }

    /**
     * Begins to watch.
     *
     * @param config a balancer's whole configuration, of which it takes what concerns discovery
     * @param listener given the version of each list or change that comes, on the loop
     * @throws IOException if the configuration can't be read; it names file and key
     */
    public static DiscoveryWatch open(EventLoop loop, Path config, LongConsumer listener) throws IOException {
        NodeConfig read;
        try {
            read = NodeConfig.read(config.toString());
        } catch (ConfigException e) {
            throw new IOException(e.getMessage(), e);
        }
        Clock clock = new Clock();
        DiscoveryClient client = new DiscoveryClient(loop, clock::now, read.discoveryOptions(),
                read::parseList, UnpooledByteBufAllocator.DEFAULT, new DiscoveryClient.Listener() {
                    @Override
                    public void changed(UpstreamList list) {
                        listener.accept(list.version());
                    }

                    @Override
                    public void callFailed(CallEnd how) {
                        // The watch goes on by itself.
                    }
                });
        loop.execute(() -> client.setPushed(true));
        return new DiscoveryWatch(loop, client);
    }

    /** Ends it; returns at once. */
    @Override
    public void close() {
        loop.execute(() -> client.setPushed(false));
    }
}
