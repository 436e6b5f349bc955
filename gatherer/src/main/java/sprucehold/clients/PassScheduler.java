package sprucehold.clients;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs work of client connections in later passes of the event loop over its sockets, and divides
 * the work of decoding by pass.
 */
final class PassScheduler {
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
        for (Runnable work : due) {
            work.run();
        }
    }
}
