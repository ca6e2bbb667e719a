package cranedeal.fleet.store;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;

/**
 * Lets many threads append to one store and share its forces: whatever has come while one force was under way
 * goes with the next. The store belongs to this object's thread from then on.
 */
public final class GroupCommit implements Closeable {

    /** Something to do with the store, between two batches. */
    public interface Task<T> {

        /** Does it. */
        T run(Store store) throws IOException;
    }

    /** An append, or another task if {@code payload} is null. */
    private record Call(int type, byte[] payload, Task<?> task, CompletableFuture<Object> result) { }

    private static final Call LAST = new Call(0, null, null, null);

    private final Store store;
    private final BlockingQueue<Call> calls;
    private final Thread thread;
    private volatile boolean closed;

    /** Takes over a store, with so many calls that may wait. */
    public GroupCommit(Store store, int mostWaiting, String name) {
        this.store = store;
        calls = new ArrayBlockingQueue<>(mostWaiting);
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Appends a record; the result is its sequence number, once it is kept. It fails with {@link
     * StoreException} if it could not be kept, or at once if too many wait.
     */
    public CompletableFuture<Long> append(int type, byte[] payload) {
        return offer(new Call(type, payload, null, new CompletableFuture<>())).thenApply(Long.class::cast);
    }

    /** Has something done on the store's thread, all that was appended before being kept by then. */
    @SuppressWarnings("unchecked")
    public <T> CompletableFuture<T> run(Task<T> task) {
        return offer(new Call(0, null, task, new CompletableFuture<>())).thenApply(result -> (T) result);
    }

    private CompletableFuture<Object> offer(Call call) {
        if (closed || !calls.offer(call)) {
            call.result().completeExceptionally(new StoreException(closed ? "the store is closed"
                    : "too much waits to be written; try again"));
        }
        return call.result();
    }

    private void run() {
        List<Call> batch = new ArrayList<>();
        Call call = null;
        try {
            while (call != LAST) {
                call = calls.take();
                batch.clear();
                while (call != null && call != LAST && call.payload() != null
                        && (batch.isEmpty() || store.fitsInBatch(call.payload().length))) {
                    batch.add(call);
                    append(call);
                    call = calls.poll();
                }
                commit(batch);
                if (call != null && call.task() != null) {
                    perform(call);
                } else if (call != null && call.payload() != null) {
                    // It begins the next batch.
                    append(call);
                    commit(List.of(call));
                }
            }
            store.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            closed = true;
        }
    }

    private void append(Call call) {
        try {
            store.append(call.type(), call.payload());
        } catch (IOException | RuntimeException e) {
            call.result().completeExceptionally(e);
        }
    }

    private void commit(List<Call> batch) {
        List<Call> appended = batch.stream().filter(call -> !call.result().isDone()).toList();
        if (appended.isEmpty()) {
            return;
        }
        try {
            store.force();
            long sequence = store.lastSequence() - appended.size();
            for (Call call : appended) {
                sequence++;
                call.result().complete(sequence);
            }
        } catch (IOException e) {
            appended.forEach(call -> call.result().completeExceptionally(e));
        }
    }

    private void perform(Call call) {
        try {
            call.result().complete(call.task().run(store));
        } catch (IOException | RuntimeException e) {
            call.result().completeExceptionally(e);
        }
    }

    /** Keeps what waits, and closes the store. */
    @Override
    public void close() throws IOException {
        closed = true;
        try {
            calls.put(LAST);
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
