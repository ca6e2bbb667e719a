package cranedeal.node;

import io.netty.buffer.ByteBuf;

/** Takes an answer that is too large to be held, as it comes. */
interface ResponseSink {

    /** Takes a piece over. */
    void piece(ByteBuf piece);

    boolean isWritable();
}
