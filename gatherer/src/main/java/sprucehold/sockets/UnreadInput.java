package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.function.BooleanSupplier;

/**
 * Reads the input of a connection that is in the kernel's receive buffer and that the event loop
 * has not read yet. The event loop reads each socket once per pass, and reads the end of a stream
 * only in the pass after the bytes before it. A decision that depends on whether the remote end is
 * still connected must therefore read this input first.
 */
public final class UnreadInput {
    /**
     * Limit on the bytes read in one call of {@link #readAll}. It exceeds the kernel's default
     * maximum of the receive buffer of a connection (Linux, tcp_rmem: 6 MiB), so that normally
     * everything that was unread at the time of the call is read.
     */
    private static final int MAX_BYTES = 8 * 1024 * 1024;

    private UnreadInput() {}

    /**
     * Reads until the receive buffer is empty, including the end or failure of the stream, and
     * passes the input to the channel's handlers as any other read does. Must be called on the
     * connection's event loop, and not during a read of the same connection.
     *
     * @return whether the connection is open, judged by all input received up to now; false as well
     *     if more input was unread than the limit on one call, so that its end isn't known
     */
    public static boolean readAll(Channel channel) {
        return readWhile(channel, MAX_BYTES, () -> true) && channel.isActive();
    }

    /**
     * Reads until the receive buffer is empty, a limit is reached or a condition no longer holds.
     *
     * @param maxBytes limit on the bytes read, which the last read may exceed
     * @param condition is evaluated before each read
     * @return whether the receive buffer is empty, or the connection closed
     */
    public static boolean readWhile(Channel channel, int maxBytes, BooleanSupplier condition) {
        if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
            return true;
        }
        int lastBytes = 1;
        int bytes = 0;
        while (lastBytes > 0 && channel.isActive()) {
            if (bytes >= maxBytes || !condition.getAsBoolean()) {
                return false;
            }
            unsafe.read();
            lastBytes = unsafe.recvBufAllocHandle().lastBytesRead();
            bytes += lastBytes;
        }
        return true;
    }
}
