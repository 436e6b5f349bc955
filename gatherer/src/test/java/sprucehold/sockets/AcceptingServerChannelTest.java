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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
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

    /** More than one pass accepts. */
    private static final int CROWD = 40;

    private final AtomicInteger failures = new AtomicInteger();

    /** When each accept of this test's listener began. */
    private final BlockingQueue<Long> askedAt = new LinkedBlockingQueue<>();

    private BlockingQueue<Accepted> accepted;
    private EventLoopGroup loop;
    private InetSocketAddress address;

    /** A connection that was accepted, and the moments by {@link System#nanoTime}. */
    private record Accepted(long atNanos, long seenEmptyNanos, double seenEmptyMsAgo) {}

    @BeforeMethod
    public void listen() {
        failures.set(0);
        accepted = new LinkedBlockingQueue<>();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Channel listener =
                new ServerBootstrap()
                        .group(loop)
                        .channelFactory(
                                () ->
                                        new AcceptingServerChannel() {
                                            @Override
                                            int accept(List<Object> into) throws Exception {
                                                askedAt.add(System.nanoTime());
                                                if (failures.getAndUpdate(
                                                                left -> Math.max(0, left - 1))
                                                        > 0) {
                                                    throw new IOException(
                                                            "Too many open files in system");
                                                }
                                                return super.accept(into);
                                            }
                                        })
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel connection) {
                                        accepted.add(
                                                new Accepted(
                                                        System.nanoTime(),
                                                        AcceptingServerChannel.backlogSeenEmptyAt(
                                                                connection),
                                                        AcceptingTransport.backlogSeenEmptyMsAgo(
                                                                connection)));
                                    }
                                })
                        .bind("127.0.0.1", 0)
                        .syncUninterruptibly()
                        .channel();
        address = (InetSocketAddress) listener.localAddress();
    }

    @AfterMethod
    public void close() {
        loop.shutdownGracefully(0, 5, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Accepted connect() throws Exception {
        try (var client = new Socket(address.getAddress(), address.getPort())) {
            Accepted one = accepted.poll(10, TimeUnit.SECONDS);
            assertNotNull(one, "not accepted, from " + client.getLocalPort());
            return one;
        }
    }

    @Test
    public void aConnectionIsAcceptedSoonAfterFailuresAndItsWaitIsKnown() throws Exception {
        failures.set(5);
        long failingSince = System.nanoTime();
        Accepted one = connect();
        assertTrue((one.atNanos() - failingSince) / 1e6 < NETTY_PAUSE_MS, "accepted late");
        assertTrue(
                one.seenEmptyNanos() <= failingSince,
                "seen empty "
                        + (one.seenEmptyNanos() - failingSince)
                        + " ns after it began to fail");
        assertEquals(failures.get(), 0);
    }

    @Test
    public void aBacklogAtRestIsLookedAtFromTimeToTime() throws Exception {
        askedAt.clear();
        long first = askedAt.poll(10, TimeUnit.SECONDS);
        long second = askedAt.poll(10, TimeUnit.SECONDS);
        assertTrue(
                second - first >= AcceptingServerChannel.BACKLOG_CHECK_MS * 1_000_000L / 2,
                "looked again after " + (second - first) + " ns");
        // A look that has begun may itself accept what connects now; once the next one has begun,
        // the second is known to have found nothing.
        assertNotNull(askedAt.poll(10, TimeUnit.SECONDS));
        Accepted one = connect();
        assertTrue(one.seenEmptyNanos() > first, "the second look was forgotten");
        assertTrue(
                one.seenEmptyMsAgo() >= (one.atNanos() - one.seenEmptyNanos()) / 1e6,
                "seen empty " + one.seenEmptyMsAgo() + " ms ago");
    }

    /** The loop stands still, as a stopped process does, while more connect than a pass accepts. */
    @Test
    public void eachOfACrowdMayHaveWaitedSinceBeforeTheHoldUp() throws Exception {
        var heldUp = new CountDownLatch(1);
        var goOn = new CountDownLatch(1);
        loop.execute(
                () -> {
                    heldUp.countDown();
                    try {
                        goOn.await(10, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        assertTrue(heldUp.await(10, TimeUnit.SECONDS));
        long heldUpAt = System.nanoTime();
        var clients = new ArrayList<Socket>();
        for (int i = 0; i < CROWD; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
        goOn.countDown();
        for (int i = 0; i < CROWD; i++) {
            Accepted one = accepted.poll(10, TimeUnit.SECONDS);
            assertNotNull(one);
            assertTrue(one.seenEmptyNanos() <= heldUpAt, "connection " + i + " of the crowd");
        }
        for (Socket client : clients) {
            client.close();
        }
    }
}
