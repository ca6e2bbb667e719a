package cranedeal.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * What an upstream answers with status 200, and when: the head, pieces of the body, and how it ends.
 *
 * @param length length in the head, in bytes, if it has one
 * @param headAfterMs time from the request to the head
 * @param pieces the body, whose first piece is timed from the head
 */
record AnswerPlan(Framing framing, int length, int headAfterMs, List<Piece> pieces, End end) {

    /** How a caller can tell where the body ends. */
    enum Framing { LENGTH, CHUNKED, CLOSE }

    /** What comes behind the last piece. */
    enum End { WHOLE, SILENCE, RESET }

    /** A part of the body, written some time after the one before it. */
    record Piece(int afterMs, int bytes) { }

    /** Returns a whole answer whose head comes at once, with pieces of one size at a steady pace. */
    static AnswerPlan steady(Framing framing, int bytes, int bodyAfterMs, int pieceBytes, int everyMs) {
        List<Piece> pieces = new ArrayList<>();
        for (int left = bytes; left > 0; left -= pieceBytes) {
            pieces.add(new Piece(pieces.isEmpty() ? bodyAfterMs : everyMs, Math.min(left, pieceBytes)));
        }
        return new AnswerPlan(framing, bytes, 0, pieces, End.WHOLE);
    }

    /** Returns how many bytes of the body are written. */
    int bytes() {
        return pieces.stream().mapToInt(Piece::bytes).sum();
    }

    /** Returns true if all of it is written and it is over the size up to which answers are due whole. */
    boolean isWholeAndLong() {
        return end == End.WHOLE && bytes() > SHORT_BYTES;
    }

    /** The protocol: over 64 KiB the first bytes are timed. */
    static final int SHORT_BYTES = 64 << 10;

    /** Writes the answer; returns false if nothing may follow on the connection. */
    boolean write(HttpPeer connection) throws IOException, InterruptedException {
        Thread.sleep(headAfterMs);
        connection.write("HTTP/1.1 200 OK\r\n" + switch (framing) {
            case LENGTH -> "Content-Length: " + length;
            case CHUNKED -> "Transfer-Encoding: chunked";
            case CLOSE -> "Connection: close";
        } + "\r\n\r\n");
        for (Piece piece : pieces) {
            Thread.sleep(piece.afterMs());
            String text = "x".repeat(piece.bytes());
            connection.write(framing != Framing.CHUNKED ? text
                    : Integer.toHexString(piece.bytes()) + "\r\n" + text + "\r\n");
        }
        if (end == End.SILENCE) {
            // Until the balancer closes the connection.
            connection.awaitClose();
        } else if (end == End.RESET) {
            connection.reset();
        } else if (framing == Framing.CHUNKED) {
            connection.write("0\r\n\r\n");
        }
        return end == End.WHOLE && framing != Framing.CLOSE;
    }
}
