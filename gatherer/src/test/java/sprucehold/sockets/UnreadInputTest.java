package sprucehold.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a connection with unread input that is followed by the end of the stream. */
public class UnreadInputTest {
    private static final int RECEIVE_BUFFER = 1 << 20;
    private static final int READ_BYTES = 4096;

    private EventLoopGroup loop;
    private InetSocketAddress address;
    private BlockingQueue<Channel> accepted;
    private AtomicLong bytesRead;

    @BeforeMethod
    public void listen() {
        accepted = new LinkedBlockingQueue<>();
        bytesRead = new AtomicLong();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        address =
                (InetSocketAddress)
                        new ServerBootstrap()
                                .group(loop)
                                .channel(NioServerSocketChannel.class)
                                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER)
                                .childOption(
                                        ChannelOption.RECVBUF_ALLOCATOR,
                                        new FixedRecvByteBufAllocator(READ_BYTES))
                                .childHandler(
                                        new ChannelInitializer<>() {
                                            @Override
                                            protected void initChannel(Channel connection) {
                                                connection
                                                        .pipeline()
                                                        .addLast(
                                                                new ChannelInboundHandlerAdapter() {
                                                                    @Override
                                                                    public void channelRead(
                                                                            ChannelHandlerContext
                                                                                    ctx,
                                                                            Object bytes) {
                                                                        bytesRead.addAndGet(
                                                                                ((ByteBuf) bytes)
                                                                                        .readableBytes());
                                                                        ((ByteBuf) bytes).release();
                                                                    }
                                                                });
                                                accepted.add(connection);
                                            }
                                        })
                                .bind("127.0.0.1", 0)
                                .syncUninterruptibly()
                                .channel()
                                .localAddress();
    }

    @AfterMethod
    public void close() {
        loop.shutdownGracefully(0, 5, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{0}, {1}, {READ_BYTES}, {64 * 1024}, {RECEIVE_BUFFER / 4}};
    }

    /** A caller must not take a connection for open whose end may lie behind a limit. */
    @Test
    public void inputBeyondTheLimitIsReported() throws Exception {
        try (var client = new Socket(address.getAddress(), address.getPort())) {
            Channel connection = accepted.poll(10, TimeUnit.SECONDS);
            assertNotNull(connection);
            var written = new CountDownLatch(1);
            Future<Boolean> empty =
                    loop.submit(
                            () -> {
                                assertTrue(written.await(10, TimeUnit.SECONDS));
                                return UnreadInput.readWhile(connection, READ_BYTES, () -> true);
                            });
            client.getOutputStream().write(new byte[4 * READ_BYTES]);
            written.countDown();
            assertFalse(empty.get(10, TimeUnit.SECONDS), "all input is reported as read");
        }
    }

    @Test(dataProvider = "sizes")
    public void endOfStreamIsReadBehindAnyAmountOfUnreadInput(int bytes) throws Exception {
        var loopBlocked = new CountDownLatch(1);
        var unblock = new CountDownLatch(1);
        Future<Boolean> open;
        try (var client = new Socket(address.getAddress(), address.getPort())) {
            Channel connection = accepted.poll(10, TimeUnit.SECONDS);
            assertNotNull(connection);
            open =
                    loop.submit(
                            () -> {
                                loopBlocked.countDown();
                                assertTrue(unblock.await(10, TimeUnit.SECONDS));
                                return UnreadInput.readAll(connection);
                            });
            assertTrue(loopBlocked.await(10, TimeUnit.SECONDS));
            client.getOutputStream().write(new byte[bytes]);
            // With SO_LINGER the close returns once the receiver's kernel has acknowledged all
            // bytes and the end of the stream.
            client.setSoLinger(true, 10);
        }
        unblock.countDown();
        assertFalse(open.get(10, TimeUnit.SECONDS), "the connection is reported as open");
        assertEquals(bytesRead.get(), bytes);
    }
}
