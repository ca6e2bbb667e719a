package cranedeal;

/**
 * Ready servers that share the factors of their weights: those of one placement, in the preferred subset or
 * outside it, open to calls or cold without having earned one. For each class that they are open to their
 * weights are kept in bins.
 */
final class ServerGroup {

    final Placement placement;
    /** Whether they count as of the preferred subset. */
    final boolean preferred;
    /** Whether they are cold and have not earned a call. */
    final boolean closed;
    /** By class; null for one that they are not open to. */
    final WeightBins[] bins;
    private int size;

    ServerGroup(Placement placement, boolean preferred, boolean closed, ClassRecord[] classes) {
        this.placement = placement;
        this.preferred = preferred;
        this.closed = closed;
        bins = new WeightBins[classes.length];
        for (ClassRecord c : classes) {
            if (c.type.admits(placement.example)) {
                bins[c.index] = new WeightBins(c.index);
            }
        }
    }

    boolean isEmpty() {
        return size == 0;
    }

    void add(Server server, double[] weights) {
        size++;
        server.group = this;
        for (int i = 0; i < bins.length; i++) {
            if (bins[i] != null) {
                bins[i].add(server, weights[i]);
            }
        }
    }

    void remove(Server server) {
        size--;
        server.group = null;
        for (WeightBins ofClass : bins) {
            if (ofClass != null) {
                ofClass.remove(server);
            }
        }
    }

    /** Moves a server to the bins of its present weights. */
    void reweigh(Server server, double[] weights) {
        for (int i = 0; i < bins.length; i++) {
            if (bins[i] != null && server.bins[i] != WeightBins.binOf(weights[i])) {
                bins[i].remove(server);
                bins[i].add(server, weights[i]);
            }
        }
    }
}
