package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * What the system holds of a connection and the event loop has not come to yet. The loop reads each socket once a pass, and the end of
 * a stream only in the pass after the bytes before it; whatever rests on the other side's presence has to read first.
 */
public final class UnreadInput {
    /** A sender that is faster than the reader must not keep it here. */
    private static final int MOST_READS = 16;

    private UnreadInput() {
    }

    /**
     * Reads until the system has nothing more, the end or failure of the stream included, and hands it to the connection's handlers as
     * any read does. To be called on the connection's event loop, and not from within a read of the same connection.
     *
     * @return whether the connection is open by all that had come up to this moment
     */
    public static boolean readAll(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            for (int i = 0; i < MOST_READS && channel.isActive(); i++) {
                unsafe.read();
                if (unsafe.recvBufAllocHandle().lastBytesRead() <= 0) {
                    break;
                }
            }
        }
        return channel.isActive();
    }
}
