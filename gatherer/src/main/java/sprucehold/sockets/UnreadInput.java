package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads the input of a connection that is in the kernel's receive buffer and that the event loop
 * has not read yet. The event loop reads each socket once per pass, and reads the end of a stream
 * only in the pass after the bytes before it. A decision that depends on whether the remote end is
 * still connected must therefore read this input first.
 */
public final class UnreadInput {
    /**
     * Limit on the bytes read in one call. It exceeds the kernel's maximum receive buffer of a
     * connection (Linux, tcp_rmem: 6 MiB by default), so everything that was unread at the time of
     * the call is read. It also ends the call when the sender is faster than the reader.
     */
    private static final int MAX_BYTES = 8 * 1024 * 1024;

    private UnreadInput() {}

    /**
     * Reads until the receive buffer is empty, including the end or failure of the stream, and
     * passes the input to the channel's handlers as any other read does. Must be called on the
     * connection's event loop, and not during a read of the same connection.
     *
     * @return whether the connection is open, judged by all input received up to now
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
