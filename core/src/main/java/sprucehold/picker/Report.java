package sprucehold.picker;

import java.util.List;

/** Something that went well or badly outside. */
public sealed interface Report {
    /** Each dispatch ends exactly once. */
    record DispatchEnded(Dispatch dispatch, Outcome outcome) implements Report {}

    /** The client has closed its connection before it had the answer. */
    record ClientLeft(Scan scan) implements Report {}

    /**
     * News of shard servers. A complete list names all there are; otherwise only changes are named.
     */
    record ListCame(boolean complete, List<ServerNews> servers) implements Report {}

    /** A call for the list failed or told nothing that can be used. */
    record ListFailed() implements Report {}

    /** The end of a probe; {@code outcome} is never {@link Outcome.Cancelled}. */
    record ProbeEnded(ShardServer server, Outcome outcome, double tookMs) implements Report {}
}
