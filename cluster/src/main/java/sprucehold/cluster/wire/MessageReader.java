package sprucehold.cluster.wire;

import java.util.ArrayList;
import java.util.List;
import org.apache.avro.generic.GenericRecord;
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.Observation;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.quota.Lease;
import sprucehold.cluster.quota.QuotaMessage;
import sprucehold.cluster.session.ClusterMessage;

/** Converts Avro records of the highest schema version to messages. */
final class MessageReader {
    /** Maximum number of items in an array of a message. */
    static final int MAX_ITEMS = 10_000;

    private MessageReader() {}

    /**
     * Reads the body of a message.
     *
     * @throws IllegalArgumentException if the body's kind is unknown, or an array in it is too long
     */
    static ClusterMessage message(String from, GenericRecord body) {
        String kind = body.getSchema().getName();
        return switch (kind) {
            case WireNames.PING ->
                    new ClusterMessage.MembershipPart(
                            new MemberMessage.Ping(sequenceNumber(body), updates(body)));
            case WireNames.ACK ->
                    new ClusterMessage.MembershipPart(
                            new MemberMessage.Ack(sequenceNumber(body), updates(body)));
            case WireNames.PING_REQUEST ->
                    new ClusterMessage.MembershipPart(
                            new MemberMessage.PingRequest(
                                    sequenceNumber(body),
                                    text(body, WireNames.TARGET),
                                    updates(body)));
            case WireNames.COMPARE_DIGEST ->
                    new ClusterMessage.MembershipPart(
                            new MemberMessage.CompareDigest(
                                    (long) body.get(WireNames.DIGEST), updates(body)));
            case WireNames.MEMBER_TABLE ->
                    new ClusterMessage.MembershipPart(
                            new MemberMessage.MemberTable(
                                    (boolean) body.get(WireNames.REPLY_WANTED), updates(body)));
            case WireNames.QUOTA_PART ->
                    new ClusterMessage.QuotaPart(
                            items(body, WireNames.LIMIT_MESSAGES).stream()
                                    .map(MessageReader::limitMessage)
                                    .toList());
            case WireNames.OBSERVATION_PART ->
                    new ClusterMessage.ObservationPart(
                            items(body, WireNames.COUNTERS).stream()
                                    .map(item -> counter(from, item))
                                    .toList(),
                            items(body, WireNames.OBSERVATIONS).stream()
                                    .map(item -> observation(from, item))
                                    .toList());
            default -> throw new IllegalArgumentException("unknown kind of body: " + kind);
        };
    }

    /** Returns the value of a text field. */
    static String text(GenericRecord record, String field) {
        return record.get(field).toString();
    }

    private static List<GenericRecord> items(GenericRecord record, String field) {
        var items = new ArrayList<GenericRecord>();
        for (Object item : (Iterable<?>) record.get(field)) {
            items.add((GenericRecord) item);
        }
        if (items.size() > MAX_ITEMS) {
            throw new IllegalArgumentException(items.size() + " items are too many in " + field);
        }
        return items;
    }

    private static long sequenceNumber(GenericRecord record) {
        return (long) record.get(WireNames.SEQUENCE_NUMBER);
    }

    private static List<MemberUpdate> updates(GenericRecord record) {
        return items(record, WireNames.UPDATES).stream().map(MessageReader::update).toList();
    }

    private static MemberUpdate update(GenericRecord record) {
        return new MemberUpdate(
                text(record, WireNames.NAME),
                text(record, WireNames.SITE),
                (long) record.get(WireNames.GENERATION),
                (int) record.get(WireNames.INCARNATION),
                MemberUpdate.State.ofStoredName(text(record, WireNames.STATE)));
    }

    private static ClusterMessage.LimitMessage limitMessage(GenericRecord record) {
        return new ClusterMessage.LimitMessage(
                text(record, WireNames.LIMIT),
                quotaMessage((GenericRecord) record.get(WireNames.QUOTA_MESSAGE)));
    }

    private static QuotaMessage quotaMessage(GenericRecord record) {
        String kind = record.getSchema().getName();
        return switch (kind) {
            case WireNames.LEASE_REQUEST ->
                    new QuotaMessage.LeaseRequest(
                            epoch(record), requestNumber(record), units(record));
            case WireNames.LEASE_GRANT ->
                    new QuotaMessage.LeaseGrant(
                            epoch(record), requestNumber(record), lease(record));
            case WireNames.LEASE_REFUSAL ->
                    new QuotaMessage.LeaseRefusal(epoch(record), requestNumber(record));
            case WireNames.RENEWAL_REQUEST ->
                    new QuotaMessage.RenewalRequest(
                            epoch(record), requestNumber(record), lease(record));
            case WireNames.RENEWAL_GRANT ->
                    new QuotaMessage.RenewalGrant(
                            epoch(record), requestNumber(record), lease(record));
            case WireNames.LEASE_RETURN -> new QuotaMessage.LeaseReturn(lease(record));
            default -> throw new IllegalArgumentException("unknown kind of message: " + kind);
        };
    }

    private static long epoch(GenericRecord record) {
        return (long) record.get(WireNames.EPOCH);
    }

    private static long requestNumber(GenericRecord record) {
        return (long) record.get(WireNames.REQUEST_NUMBER);
    }

    private static int units(GenericRecord record) {
        return (int) record.get(WireNames.UNITS);
    }

    private static Lease lease(GenericRecord record) {
        var lease = (GenericRecord) record.get(WireNames.LEASE);
        return new Lease(
                text(lease, WireNames.LENDER),
                epoch(lease),
                (long) lease.get(WireNames.LEASE_NUMBER),
                units(lease));
    }

    private static CounterValue counter(String from, GenericRecord record) {
        return new CounterValue(
                from,
                (long) record.get(WireNames.GENERATION),
                text(record, WireNames.KEY),
                (long) record.get(WireNames.TOTAL));
    }

    private static Observation observation(String from, GenericRecord record) {
        return new Observation(
                from,
                text(record, WireNames.SITE),
                text(record, WireNames.SERVER),
                text(record, WireNames.SERVER_SITE),
                (double) record.get(WireNames.SERVER_STARTED_AT_MS),
                (float) record.get(WireNames.SUCCESSES),
                (float) record.get(WireNames.FAILURES),
                sequenceNumber(record));
    }
}
