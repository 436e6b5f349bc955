package sprucehold.clients;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Runs work of client connections in later passes of the event loop over its sockets. */
final class PassScheduler {
    private static final Logger LOG = Logger.getLogger(PassScheduler.class.getName());

    private final EventLoop loop;
    private final ReadPassTracker readPasses;
    private List<Runnable> nextPass = new ArrayList<>();

    /**
     * @param loop event loop of the connections
     * @param readPasses is told of each pass in which work runs
     */
    PassScheduler(EventLoop loop, ReadPassTracker readPasses) {
        this.loop = loop;
        this.readPasses = readPasses;
    }

    /** Runs work after the sockets of this pass are read. */
    void afterThisPass(Runnable work) {
        loop.execute(work);
    }

    /** Runs work after the sockets of the next pass are read. */
    // The scheduled task can't be cancelled, and reports no failure of the work.
    @SuppressWarnings("FutureReturnValueIgnored")
    void inNextPass(Runnable work) {
        nextPass.add(work);
        if (nextPass.size() == 1) {
            // A timer that is set after the sockets are read fires in the next pass at the
            // earliest.
            loop.execute(() -> loop.schedule(this::runNextPass, 0, TimeUnit.MILLISECONDS));
        }
    }

    private void runNextPass() {
        List<Runnable> due = nextPass;
        nextPass = new ArrayList<>();
        readPasses.onRead(loop);
        due.forEach(PassScheduler::runGuarded);
    }

    /** A failure of one connection's work must not stop the others'. */
    private static void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            LOG.log(Level.SEVERE, "panic: work of a client connection failed", e);
        }
    }
}
