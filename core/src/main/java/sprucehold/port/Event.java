package sprucehold.port;

import java.util.List;

/** Something that happened at one gatherer. */
public sealed interface Event {
    /**
     * A client's scan; its parts follow at the same moment. {@code customer} is null where there
     * are none.
     */
    record ScanTaken(String id, long number, TableType type, Customer customer, double timeLeftMs)
            implements Event {}

    /**
     * A part of the scan with that number, for one segment. The weights of a step sum to about 1.
     */
    record PartTaken(String id, long scanNumber, int segment, double weight) implements Event {}

    /**
     * The end of one dispatch, numbered from 0 within its part; {@code load} is null where none
     * came along.
     */
    record DispatchEnded(String partId, int number, Ending ending, double tookMs, LoadReport load)
            implements Event {}

    /** The client has left, so the scan is over. */
    record ClientLeft(String scanId) implements Event {}

    /**
     * News of shard servers. A complete list names all there are; otherwise only changes are named.
     */
    record ListReceived(boolean complete, List<Listing> servers) implements Event {}

    /** A request for the list failed, or following it was cut off. */
    record ListUnavailable() implements Event {}

    /** The end of a probe. */
    record ProbeEnded(String server, Ending ending, double tookMs, LoadReport load)
            implements Event {}

    /**
     * Other facts hold from this moment on, for what comes after it. Gatherers, zone, layout and
     * tick stay; open scans end under the facts that they were taken under, but where a part may
     * now run less often than before.
     */
    record FactsChanged(Deployment facts) implements Event {}

    /**
     * What others told holds from this moment on; it comes before whatever else happened at that
     * moment.
     */
    record OthersTold(Others others) implements Event {}

    /** The time asked for by an {@link Action.Wake} has come. */
    record Woken() implements Event {}
}
