package stage;

/** Starts the daemon threads of the stand-ins. */
public final class Threads {
    private Threads() {}

    /** Work that may fail; a failure ends its thread. */
    public interface Work {
        void run() throws Exception;
    }

    /** Starts a thread. */
    public static Thread start(String name, Work work) {
        var thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                work.run();
                            } catch (Exception e) {
                                // The connection or the run is over.
                            }
                        },
                        name,
                        256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
