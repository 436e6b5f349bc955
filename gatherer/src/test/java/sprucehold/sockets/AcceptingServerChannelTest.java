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

/** Tests the listening channel with accepts that fail as the system call does. */
public class AcceptingServerChannelTest {
    /**
     * Time for which Netty's own listening channel accepts nothing after a failure, in
     * milliseconds.
     */
    private static final double NETTY_PAUSE_MS = 1000;

    /** Number of connections that exceeds what one event loop pass accepts. */
    private static final int MANY_CONNECTIONS = 40;

    private final AtomicInteger failures = new AtomicInteger();

    /** Start times of the accepts, by {@link System#nanoTime}. */
    private final BlockingQueue<Long> acceptStartTimes = new LinkedBlockingQueue<>();

    private BlockingQueue<Accepted> accepted;
    private EventLoopGroup loop;
    private InetSocketAddress address;

    /** When a connection was accepted and when the backlog was last observed empty before that. */
    private record Accepted(
            long acceptedAtNanos, long backlogEmptyAtNanos, double msSinceBacklogEmpty) {}

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
                                                acceptStartTimes.add(System.nanoTime());
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
                                                        AcceptingServerChannel.backlogEmptyAtNanos(
                                                                connection),
                                                        RetryingAcceptTransport.msSinceBacklogEmpty(
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
            Accepted connection = accepted.poll(10, TimeUnit.SECONDS);
            assertNotNull(connection, "not accepted, from " + client.getLocalPort());
            return connection;
        }
    }

    @Test
    public void connectionAfterFailedAcceptsIsAcceptedSoonWithBacklogTimeBeforeTheFailures()
            throws Exception {
        failures.set(5);
        long failingSince = System.nanoTime();
        Accepted connection = connect();
        assertTrue(
                (connection.acceptedAtNanos() - failingSince) / 1e6 < NETTY_PAUSE_MS,
                "accepted late");
        assertTrue(
                connection.backlogEmptyAtNanos() <= failingSince,
                "backlog observed empty "
                        + (connection.backlogEmptyAtNanos() - failingSince)
                        + " ns after the accepts began to fail");
        assertEquals(failures.get(), 0);
    }

    @Test
    public void backlogIsPolledAtIntervalsWhileNoConnectionsArrive() throws Exception {
        acceptStartTimes.clear();
        long first = acceptStartTimes.poll(10, TimeUnit.SECONDS);
        long second = acceptStartTimes.poll(10, TimeUnit.SECONDS);
        assertTrue(
                second - first >= AcceptingServerChannel.BACKLOG_CHECK_MS * 1_000_000L / 2,
                "polled again after " + (second - first) + " ns");
        // A poll that has begun may itself accept a connection that is opened now. Once the third
        // poll has begun, the second one has ended without a connection.
        assertNotNull(acceptStartTimes.poll(10, TimeUnit.SECONDS));
        Accepted connection = connect();
        assertTrue(connection.backlogEmptyAtNanos() > first, "the second poll was not recorded");
        assertTrue(
                connection.msSinceBacklogEmpty()
                        >= (connection.acceptedAtNanos() - connection.backlogEmptyAtNanos()) / 1e6,
                "backlog observed empty " + connection.msSinceBacklogEmpty() + " ms ago");
    }

    /**
     * The event loop is blocked, as in a stopped process, while more connections are opened than
     * one pass accepts.
     */
    @Test
    public void connectionsOpenedWhileTheLoopIsBlockedHaveABacklogTimeBeforeTheBlock()
            throws Exception {
        var blocked = new CountDownLatch(1);
        var unblock = new CountDownLatch(1);
        loop.execute(
                () -> {
                    blocked.countDown();
                    try {
                        unblock.await(10, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        assertTrue(blocked.await(10, TimeUnit.SECONDS));
        long blockedAt = System.nanoTime();
        var clients = new ArrayList<Socket>();
        for (int i = 0; i < MANY_CONNECTIONS; i++) {
            clients.add(new Socket(address.getAddress(), address.getPort()));
        }
        unblock.countDown();
        for (int i = 0; i < MANY_CONNECTIONS; i++) {
            Accepted connection = accepted.poll(10, TimeUnit.SECONDS);
            assertNotNull(connection);
            assertTrue(
                    connection.backlogEmptyAtNanos() <= blockedAt,
                    "connection " + i + " of those opened during the block");
        }
        for (Socket client : clients) {
            client.close();
        }
    }
}
