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
    private record Call(int type, byte[] payload, Task<?> task, CompletableFuture<Object> result) { }

    private static final Call LAST = new Call(0, null, null, null);

    private final Store store;
    private final BlockingQueue<Call> calls;
    private final Thread thread;
    private volatile boolean closed;

    /**
     * Takes over a store.
     *
     * @param mostWaiting how many operations may wait; more are refused
     * @param name the name of the thread
     */
    public GroupCommit(Store store, int mostWaiting, String name) {
        this.store = store;
        calls = new ArrayBlockingQueue<>(mostWaiting);
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Appends a record. The result completes with its sequence number once the record is forced to disk. It
     * fails with {@link StoreException} if that was not possible, or at once if too many operations wait.
     */
    public CompletableFuture<Long> append(int type, byte[] payload) {
        return offer(new Call(type, payload, null, new CompletableFuture<>())).thenApply(Long.class::cast);
    }

    /** Runs a task on the store's thread, after everything appended before it has been forced to disk. */
    @SuppressWarnings("unchecked")
    public <T> CompletableFuture<T> run(Task<T> task) {
        return offer(new Call(0, null, task, new CompletableFuture<>())).thenApply(result -> (T) result);
    }

    private CompletableFuture<Object> offer(Call call) {
        if (closed || !calls.offer(call)) {
            call.result().completeExceptionally(new StoreException(closed ? "the store is closed"
                    : "too many operations wait to be written; try again"));
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
                    // It did not fit in the batch, so it is committed on its own.
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

    /** Commits what waits in the queue and closes the store. */
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
