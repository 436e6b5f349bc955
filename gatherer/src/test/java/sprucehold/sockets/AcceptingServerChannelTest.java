package sprucehold.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A listener whose accepts fail as the system's do. */
public class AcceptingServerChannelTest {
    /** For so long Netty's own listener accepts nothing after a failure. */
    private static final double NETTY_PAUSE_MS = 1000;

    private final AtomicInteger failures = new AtomicInteger();
    private BlockingQueue<Channel> accepted;
    private EventLoopGroup loop;
    private InetSocketAddress address;

    @BeforeMethod
    public void listen() {
        failures.set(0);
        accepted = new LinkedBlockingQueue<>();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Channel listener = new ServerBootstrap().group(loop).channelFactory(() -> new AcceptingServerChannel() {
            @Override
            int accept(List<Object> into) throws Exception {
                if (failures.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                    throw new IOException("Too many open files in system");
                }
                return super.accept(into);
            }
        }).childHandler(new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel connection) {
                accepted.add(connection);
            }
        }).bind("127.0.0.1", 0).syncUninterruptibly().channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    @AfterMethod
    public void close() {
        loop.shutdownGracefully(0, 5, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private double waitedMs() throws Exception {
        try (var client = new Socket(address.getAddress(), address.getPort())) {
            Channel connection = accepted.poll(10, TimeUnit.SECONDS);
            assertNotNull(connection, "not accepted, from " + client.getLocalPort());
            return AcceptingTransport.waitedMs(connection);
        }
    }

    @Test
    public void aConnectionIsAcceptedSoonAfterFailuresAndItsWaitIsKnown() throws Exception {
        assertEquals(waitedMs(), 0.0);
        failures.set(5);
        double waited = waitedMs();
        assertTrue(waited > 0 && waited < NETTY_PAUSE_MS, "waited " + waited + " ms");
        assertEquals(waitedMs(), 0.0);
    }
}
