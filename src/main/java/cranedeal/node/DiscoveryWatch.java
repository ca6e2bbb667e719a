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
 * A balancer's watch of discovery without the balancer, to measure its cost at discovery and on the network.
 * It uses the program's {@link DiscoveryClient}, with the watch always open.
 */
public final class DiscoveryWatch implements AutoCloseable {

    private final EventLoop loop;
    private final DiscoveryClient client;

    private DiscoveryWatch(EventLoop loop, DiscoveryClient client) {
        this.loop = loop;
        this.client = client;
    }

    /**
     * Starts a watch.
     *
     * @param config a balancer's complete configuration, of which only the part about discovery is used
     * @param listener called on the loop with the version of each list or change that arrives
     * @throws IOException if the configuration can't be read; the message names file and key
     */
    public static DiscoveryWatch open(EventLoop loop, Path config, LongConsumer listener) throws IOException {
        NodeConfig nodeConfig;
        try {
            nodeConfig = NodeConfig.read(config.toString());
        } catch (ConfigException e) {
            throw new IOException(e.getMessage(), e);
        }
        Clock clock = new Clock();
        DiscoveryClient client = new DiscoveryClient(loop, clock::now, nodeConfig.discoveryOptions(),
                nodeConfig::parseList, UnpooledByteBufAllocator.DEFAULT, new DiscoveryClient.Listener() {
                    @Override
                    public void changed(UpstreamList list) {
                        listener.accept(list.version());
                    }

                    @Override
                    public void callFailed(CallEnd how) {
                        // The client retries by itself.
                    }
                });
        loop.execute(() -> client.setPushed(true));
        return new DiscoveryWatch(loop, client);
    }

    /** Ends the watch; returns immediately. */
    @Override
    public void close() {
        loop.execute(() -> client.setPushed(false));
    }
}
