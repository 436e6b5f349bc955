package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** What was written to a connection and the system has not taken yet. */
public final class UnsentOutput {
    private UnsentOutput() {}

    /**
     * Whether the system has taken all that was written, so that a write now does not wait behind
     * another.
     */
    public static boolean isEmpty(Channel channel) {
        // A connection that is closed has no buffer, and takes what is written to it at once: as
        // failed.
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null || buffer.totalPendingWriteBytes() == 0;
    }
}
