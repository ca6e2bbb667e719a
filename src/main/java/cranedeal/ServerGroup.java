package cranedeal;

/**
 * Ready servers with the same factor of their weights: those of one pool, inside or outside the preferred
 * subset, and with or without send budget. For each class that may be sent to them their weights are kept in
 * bins.
 */
final class ServerGroup {

    final ServerPool pool;
    /** True if they count as members of the preferred subset. */
    final boolean preferred;
    /** True if they are cold and have not earned a call. */
    final boolean outOfBudget;
    /** Indexed by class; null for a class that must not be sent to them. */
    final WeightBins[] bins;
    private int size;

    ServerGroup(ServerPool pool, boolean preferred, boolean outOfBudget, ClassStats[] classes) {
        this.pool = pool;
        this.preferred = preferred;
        this.outOfBudget = outOfBudget;
        bins = new WeightBins[classes.length];
        for (ClassStats c : classes) {
            if (c.type.admits(pool.example)) {
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
        for (WeightBins classBins : bins) {
            if (classBins != null) {
                classBins.remove(server);
            }
        }
    }

    /** Moves a server to the bins of its current weights. */
    void reweigh(Server server, double[] weights) {
        for (int i = 0; i < bins.length; i++) {
            if (bins[i] != null && server.bins[i] != WeightBins.binOf(weights[i])) {
                bins[i].remove(server);
                bins[i].add(server, weights[i]);
            }
        }
    }
}
