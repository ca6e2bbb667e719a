package cranedeal.node;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What a caller got of an answer.
 *
 * @param status 0 if the connection ended before one, -1 if nothing came until the caller gave up
 * @param bytes how much of the body came
 * @param whole true if it looks complete
 * @param silent true if the caller gave up within the body
 * @param last true if the connection ends with it
 * @param firstMs when its first line came, in ms from when the request was written
 * @param lastMs when it ended
 */
record ReceivedAnswer(int status, long bytes, boolean whole, boolean silent, boolean last, long firstMs,
        long lastMs) {

    private static final int READ_BYTES = 4_350;

    /**
     * Reads an answer.
     *
     * @param sentAt when the request was written, in ns of {@link System#nanoTime}
     * @param pauseMs pause between two reads of the body
     */
    static ReceivedAnswer read(HttpPeer caller, long sentAt, int pauseMs) {
        return read(caller, sentAt, pauseMs, () -> { });
    }

    /** The same, with something to run once the head of the answer has come. */
    static ReceivedAnswer read(HttpPeer caller, long sentAt, int pauseMs, Runnable onHead) {
        Body body = new Body(caller, pauseMs);
        int status = 0;
        long firstMs = 0;
        boolean whole = false;
        boolean silent = false;
        boolean last = true;
        try {
            String line = caller.readLine();
            firstMs = msSince(sentAt);
            if (line != null) {
                status = Integer.parseInt(line.split(" ")[1]);
                Map<String, String> headers = caller.readHeaders();
                onHead.run();
                last = "close".equalsIgnoreCase(headers.get("connection"))
                        || !headers.containsKey("content-length")
                        && !headers.containsKey("transfer-encoding");
                body.read(headers);
                whole = true;
            }
        } catch (SocketTimeoutException e) {
            silent = status != 0;
            status = status == 0 ? -1 : status;
        } catch (IOException | NumberFormatException | InterruptedException e) {
            // It broke off.
        }
        return new ReceivedAnswer(status, body.received, whole, silent, last, firstMs, msSince(sentAt));
    }

    private static long msSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    /** Reads a body in whichever framing its head tells. */
    private static final class Body {

        private final HttpPeer caller;
        private final int pauseMs;
        private long received;

        Body(HttpPeer caller, int pauseMs) {
            this.caller = caller;
            this.pauseMs = pauseMs;
        }

        void read(Map<String, String> headers) throws IOException, InterruptedException {
            if (headers.containsKey("content-length")) {
                readBytes(Integer.parseInt(headers.get("content-length")));
            } else if (headers.containsKey("transfer-encoding")) {
                readChunks();
            } else {
                readUntilClose();
            }
        }

        private void readChunks() throws IOException, InterruptedException {
            for (int size = -1; size != 0;) {
                size = readChunkSize();
                readBytes(size);
                caller.readLine();
            }
        }

        private int readChunkSize() throws IOException {
            String line = caller.readLine();
            if (line == null) {
                throw new EOFException("no last chunk");
            }
            return Integer.parseInt(line, 16);
        }

        private void readBytes(int count) throws IOException, InterruptedException {
            InputStream in = caller.socket.getInputStream();
            byte[] bytes = new byte[READ_BYTES];
            for (int left = count; left > 0;) {
                int read = in.read(bytes, 0, Math.min(left, READ_BYTES));
                if (read < 0) {
                    throw new EOFException("bytes are missing");
                }
                received += read;
                left -= read;
                Thread.sleep(pauseMs);
            }
        }

        private void readUntilClose() throws IOException, InterruptedException {
            InputStream in = caller.socket.getInputStream();
            byte[] bytes = new byte[READ_BYTES];
            for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
                received += read;
                Thread.sleep(pauseMs);
            }
        }
    }
}
