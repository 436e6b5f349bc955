package sprucehold.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Output that was written to a connection and that the kernel has not accepted yet. */
public final class UnsentOutput {
    private UnsentOutput() {}

    /**
     * Returns whether the kernel has accepted all earlier writes, so that a write now does not wait
     * behind another.
     */
    public static boolean isEmpty(Channel channel) {
        // A closed connection has no output buffer; a write to it fails at once.
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null || buffer.totalPendingWriteBytes() == 0;
    }
}
