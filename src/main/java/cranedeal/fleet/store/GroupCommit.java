package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;

/**
 * Lets many threads append to one store and share its forces: records that arrive while a force is in
 * progress are committed together by the next one. The store is used only by this object's thread from then
 * on.
 */
public final class GroupCommit implements Closeable {

    /** A task that uses the store between two batches. */
    public interface Task<T> {

        /** Runs the task. */
        T run(Store store) throws IOException;
    }

    /** An append, or a task if {@code payload} is null. */
    private record Operation(int type, byte[] payload, Task<?> task, CompletableFuture<Object> result) { }

    private static final Operation CLOSE = new Operation(0, null, null, null);

    private final Store store;
    private final BlockingQueue<Operation> queue;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Takes over a store.
     *
     * @param maxQueued how many operations may wait; more are refused
     * @param name the name of the thread
     */
    public GroupCommit(Store store, int maxQueued, String name) {
        this.store = store;
        queue = new ArrayBlockingQueue<>(maxQueued);
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Appends a record. The result completes with its sequence number once the record is forced to disk. It
     * fails with {@link StoreException} if that was not possible, or at once if too many operations wait.
     */
    public CompletableFuture<Long> append(int type, byte[] payload) {
        return enqueue(new Operation(type, payload, null, new CompletableFuture<>()))
                .thenApply(Long.class::cast);
    }

    /** Runs a task on the store's thread, after everything appended before it has been forced to disk. */
    @SuppressWarnings("unchecked")
    public <T> CompletableFuture<T> run(Task<T> task) {
        return enqueue(new Operation(0, null, task, new CompletableFuture<>()))
                .thenApply(result -> (T) result);
    }

    private CompletableFuture<Object> enqueue(Operation operation) {
        if (closed || !queue.offer(operation)) {
            operation.result().completeExceptionally(new StoreException(closed ? "the store is closed"
                    : "too many operations wait to be written; try again"));
        }
        return operation.result();
    }

    private void run() {
        List<Operation> batch = new ArrayList<>();
        Operation operation = null;
        try {
            while (operation != CLOSE) {
                operation = queue.take();
                batch.clear();
                while (operation != null && operation != CLOSE && operation.payload() != null
                        && (batch.isEmpty() || store.fitsInBatch(operation.payload().length))) {
                    batch.add(operation);
                    append(operation);
                    operation = queue.poll();
                }
                commit(batch);
                if (operation != null && operation.task() != null) {
                    runTask(operation);
                } else if (operation != null && operation.payload() != null) {
                    // It did not fit in the batch, so it is committed on its own.
                    append(operation);
                    commit(List.of(operation));
                }
            }
            store.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            closed = true;
        }
    }

    private void append(Operation operation) {
        try {
            store.append(operation.type(), operation.payload());
        } catch (IOException | RuntimeException e) {
            operation.result().completeExceptionally(e);
        }
    }

    private void commit(List<Operation> batch) {
        List<Operation> appended = batch.stream().filter(operation -> !operation.result().isDone()).toList();
        if (appended.isEmpty()) {
            return;
        }
        try {
            store.force();
            long sequence = store.lastSequence() - appended.size();
            for (Operation operation : appended) {
                sequence++;
                operation.result().complete(sequence);
            }
        } catch (IOException e) {
            appended.forEach(operation -> operation.result().completeExceptionally(e));
        }
    }

    private void runTask(Operation operation) {
        try {
            operation.result().complete(operation.task().run(store));
        } catch (IOException | RuntimeException e) {
            operation.result().completeExceptionally(e);
        }
    }

    /** Commits what waits in the queue and closes the store. */
    @Override
    public void close() throws IOException {
        closed = true;
        try {
            queue.put(CLOSE);
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
