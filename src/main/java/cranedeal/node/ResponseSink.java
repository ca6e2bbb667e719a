package cranedeal.node;

import io.netty.buffer.ByteBuf;

/** Receives the chunks of a streamed answer, one that is too large to be buffered. */
interface ResponseSink {

    /** Writes a chunk and takes ownership of it. */
    void writeChunk(ByteBuf chunk);

    /** Sends what was written so far; writing a chunk does so too. */
    void flush();

    boolean isWritable();
}
