package sprucehold.sockets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelPromise;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * A write to a connection that is complete but for the system call that sends it, and that can be
 * taken back until then. It lets a last check stand directly before the system call: if the process
 * is stopped between the check and the write, its result is out of date when the write happens.
 */
public final class RevocableWrite {
    private final Channel channel;
    private final ChannelPromise written;

    private RevocableWrite(Channel channel, ChannelPromise written) {
        this.channel = channel;
        this.written = written;
    }

    /** Prepares a write. The channel must have no unsent output. */
    // The returned future is the promise itself, whose result the methods below report.
    @SuppressWarnings("FutureReturnValueIgnored")
    public static RevocableWrite prepare(Channel channel, ByteBuf bytes) {
        ChannelPromise written = channel.newPromise();
        channel.write(bytes, written);
        return new RevocableWrite(channel, written);
    }

    /**
     * Sends the bytes. The result succeeds when the kernel has accepted the last byte, and fails if
     * it never does.
     */
    public Future<Void> send() {
        channel.flush();
        Promise<Void> result = Promise.promise();
        written.addListener(
                done -> {
                    if (done.isSuccess()) {
                        result.complete();
                    } else {
                        result.fail(done.cause());
                    }
                });
        return result.future();
    }

    /** Takes the write back; no byte of it is sent. */
    public void revoke() {
        written.cancel(false);
        channel.flush();
    }
}
