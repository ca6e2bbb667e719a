package cranedeal.node;

import cranedeal.LatencyWeightedBalancer;
import cranedeal.node.memory.BufferMemory;

/** The program with so little memory for buffers that hardly any body is read ahead of its upstream. */
final class LittleMemoryNode {

    private static final int MEMORY_BYTES = 4 << 20;

    private LittleMemoryNode() {
    }

    public static void main(String[] arguments) throws Exception {
        NodeConfig config = NodeConfig.read(System.getenv("PROXY_CONFIG"));
        Node.start(config, null, LatencyWeightedBalancer::new, new BufferMemory(MEMORY_BYTES));
        Thread.currentThread().join();
    }
}
