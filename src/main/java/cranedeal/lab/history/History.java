package cranedeal.lab.history;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * The record of an experiment: a JSON file with a line for each event, in the order in which the events were
 * added. Adding an event never blocks: if the queue is full, the event is dropped and counted, and an
 * experiment that dropped any event has no verdict.
 */
public final class History implements Consumer<Event>, AutoCloseable {

    private static final JsonMapper JSON = JsonMapper.builder()
            .disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET).build();
    private static final ObjectWriter WRITER = JSON.writerFor(Event.class);
    private static final ObjectReader READER = JSON.readerFor(Event.class);
    private static final int QUEUE_CAPACITY = 1 << 17;
    /** Sentinel that ends the writer thread. */
    private static final Event END_OF_QUEUE = new Event.Faulted(0, 0, "", List.of(), false);

    private final BlockingQueue<Event> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong lost = new AtomicLong();
    private final Path file;
    private final Thread writer;
    private volatile IOException failure;

    /** Creates the file and starts the writer thread. */
    public History(Path file) throws IOException {
        this.file = file;
        BufferedWriter out = Files.newBufferedWriter(file);
        writer = new Thread(() -> write(out), "history");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void accept(Event event) {
        if (!queue.offer(event)) {
            lost.incrementAndGet();
        }
    }

    /** Returns the number of dropped events. */
    public long lost() {
        return lost.get();
    }

    private void write(BufferedWriter out) {
        try (out) {
            for (Event event = queue.take(); event != END_OF_QUEUE; event = queue.take()) {
                WRITER.writeValue(out, event);
                out.write('\n');
            }
        } catch (IOException e) {
            failure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the remaining events; throws {@link IOException} if the file is incomplete. */
    @Override
    public void close() throws IOException {
        try {
            // A writer that failed no longer empties the queue.
            while (writer.isAlive() && !queue.offer(END_OF_QUEUE, 1, TimeUnit.SECONDS)) {
                continue;
            }
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure != null) {
            throw new IOException(file + " is not whole: " + failure.getMessage(), failure);
        }
    }

    /** Passes a recorded history on event by event; throws {@link IOException} if the file is not one. */
    public static void replay(Path file, Consumer<Event> to) throws IOException {
        try (MappingIterator<Event> events = READER.readValues(file.toFile())) {
            while (events.hasNextValue()) {
                to.accept(events.nextValue());
            }
        }
    }
}
