package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * What the system holds of a connection and the event loop has not come to yet. The loop reads each
 * socket once a pass, and the end of a stream only in the pass after the bytes before it; whatever
 * rests on the other side's presence has to read first.
 */
public final class UnreadInput {
    /**
     * The most that the system holds of a connection unread (Linux, tcp_rmem: 6 MiB unless it is
     * set otherwise), with room to spare. So all that lay unread at the call is read, and a sender
     * that is faster than the reader does not keep it here.
     */
    private static final int MAX_BYTES = 8 * 1024 * 1024;

    private UnreadInput() {}

    /**
     * Reads until the system has nothing more, the end or failure of the stream included, and hands
     * it to the connection's handlers as any read does. To be called on the connection's event
     * loop, and not from within a read of the same connection.
     *
     * @return whether the connection is open by all that had come up to this moment
     */
    public static boolean readAll(Channel channel) {
        if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
            int lastBytes = 1;
            for (int bytes = 0;
                    bytes < MAX_BYTES && lastBytes > 0 && channel.isActive();
                    bytes += lastBytes) {
                unsafe.read();
                lastBytes = unsafe.recvBufAllocHandle().lastBytesRead();
            }
        }
        return channel.isActive();
    }
}
