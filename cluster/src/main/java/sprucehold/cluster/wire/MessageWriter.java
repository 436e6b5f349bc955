package sprucehold.cluster.wire;

import java.util.List;
import java.util.function.BiConsumer;
import org.apache.avro.Schema;
import org.apache.avro.generic.GenericData;
import org.apache.avro.generic.GenericRecord;
import sprucehold.cluster.counter.CounterValue;
import sprucehold.cluster.evidence.Observation;
import sprucehold.cluster.membership.MemberMessage;
import sprucehold.cluster.membership.MemberUpdate;
import sprucehold.cluster.quota.Lease;
import sprucehold.cluster.quota.QuotaMessage;
import sprucehold.cluster.session.ClusterMessage;

/** Converts messages to Avro records of one schema version. */
final class MessageWriter {
    /** Schema of the union of all kinds of body. */
    private final Schema bodyUnion;

    MessageWriter(Schema bodyUnion) {
        this.bodyUnion = bodyUnion;
    }

    /** Returns the body of a message as a record of the schema. */
    GenericRecord body(ClusterMessage message) {
        if (message instanceof ClusterMessage.MembershipPart membership) {
            return membership(membership.message());
        } else if (message instanceof ClusterMessage.QuotaPart quota) {
            return quota(quota);
        }
        return observations((ClusterMessage.ObservationPart) message);
    }

    private GenericRecord membership(MemberMessage message) {
        if (message instanceof MemberMessage.Ping ping) {
            GenericRecord record = memberRecord(WireNames.PING, ping);
            record.put(WireNames.SEQUENCE_NUMBER, ping.sequenceNumber());
            return record;
        } else if (message instanceof MemberMessage.Ack ack) {
            GenericRecord record = memberRecord(WireNames.ACK, ack);
            record.put(WireNames.SEQUENCE_NUMBER, ack.sequenceNumber());
            return record;
        } else if (message instanceof MemberMessage.PingRequest request) {
            GenericRecord record = memberRecord(WireNames.PING_REQUEST, request);
            record.put(WireNames.SEQUENCE_NUMBER, request.sequenceNumber());
            record.put(WireNames.TARGET, request.target());
            return record;
        } else if (message instanceof MemberMessage.CompareDigest compare) {
            GenericRecord record = memberRecord(WireNames.COMPARE_DIGEST, compare);
            record.put(WireNames.DIGEST, compare.digest());
            return record;
        }
        var table = (MemberMessage.MemberTable) message;
        GenericRecord record = memberRecord(WireNames.MEMBER_TABLE, table);
        record.put(WireNames.REPLY_WANTED, table.replyWanted());
        return record;
    }

    private GenericRecord memberRecord(String kind, MemberMessage message) {
        GenericRecord record = record(bodyUnion, kind);
        record.put(
                WireNames.UPDATES,
                records(record, WireNames.UPDATES, message.updates(), MessageWriter::putUpdate));
        return record;
    }

    private static void putUpdate(GenericRecord record, MemberUpdate update) {
        Schema state = record.getSchema().getField(WireNames.STATE).schema();
        record.put(WireNames.NAME, update.name());
        record.put(WireNames.SITE, update.site());
        record.put(WireNames.GENERATION, update.generation());
        record.put(WireNames.INCARNATION, update.incarnation());
        record.put(WireNames.STATE, new GenericData.EnumSymbol(state, update.state().storedName()));
    }

    private GenericRecord quota(ClusterMessage.QuotaPart quota) {
        GenericRecord record = record(bodyUnion, WireNames.QUOTA_PART);
        record.put(
                WireNames.LIMIT_MESSAGES,
                records(
                        record,
                        WireNames.LIMIT_MESSAGES,
                        quota.messages(),
                        MessageWriter::putLimitMessage));
        return record;
    }

    private static void putLimitMessage(
            GenericRecord record, ClusterMessage.LimitMessage limitMessage) {
        Schema messages = record.getSchema().getField(WireNames.QUOTA_MESSAGE).schema();
        record.put(WireNames.LIMIT, limitMessage.limit());
        record.put(WireNames.QUOTA_MESSAGE, quotaMessage(messages, limitMessage.message()));
    }

    private static GenericRecord quotaMessage(Schema messages, QuotaMessage message) {
        if (message instanceof QuotaMessage.LeaseRequest request) {
            GenericRecord record = record(messages, WireNames.LEASE_REQUEST);
            putRequest(record, request.epoch(), request.requestNumber());
            record.put(WireNames.UNITS, request.units());
            return record;
        } else if (message instanceof QuotaMessage.LeaseGrant grant) {
            GenericRecord record = record(messages, WireNames.LEASE_GRANT);
            putRequest(record, grant.requesterEpoch(), grant.requestNumber());
            putLease(record, grant.lease());
            return record;
        } else if (message instanceof QuotaMessage.LeaseRefusal refusal) {
            GenericRecord record = record(messages, WireNames.LEASE_REFUSAL);
            putRequest(record, refusal.requesterEpoch(), refusal.requestNumber());
            return record;
        } else if (message instanceof QuotaMessage.RenewalRequest renewal) {
            GenericRecord record = record(messages, WireNames.RENEWAL_REQUEST);
            putRequest(record, renewal.epoch(), renewal.requestNumber());
            putLease(record, renewal.lease());
            return record;
        } else if (message instanceof QuotaMessage.RenewalGrant renewed) {
            GenericRecord record = record(messages, WireNames.RENEWAL_GRANT);
            putRequest(record, renewed.requesterEpoch(), renewed.requestNumber());
            putLease(record, renewed.lease());
            return record;
        }
        GenericRecord record = record(messages, WireNames.LEASE_RETURN);
        putLease(record, ((QuotaMessage.LeaseReturn) message).lease());
        return record;
    }

    private static void putRequest(GenericRecord record, long epoch, long requestNumber) {
        record.put(WireNames.EPOCH, epoch);
        record.put(WireNames.REQUEST_NUMBER, requestNumber);
    }

    private static void putLease(GenericRecord record, Lease lease) {
        var leaseRecord =
                new GenericData.Record(record.getSchema().getField(WireNames.LEASE).schema());
        leaseRecord.put(WireNames.LENDER, lease.lender());
        leaseRecord.put(WireNames.EPOCH, lease.epoch());
        leaseRecord.put(WireNames.LEASE_NUMBER, lease.number());
        leaseRecord.put(WireNames.UNITS, lease.units());
        record.put(WireNames.LEASE, leaseRecord);
    }

    private GenericRecord observations(ClusterMessage.ObservationPart part) {
        GenericRecord record = record(bodyUnion, WireNames.OBSERVATION_PART);
        record.put(
                WireNames.COUNTERS,
                records(record, WireNames.COUNTERS, part.counters(), MessageWriter::putCounter));
        record.put(
                WireNames.OBSERVATIONS,
                records(
                        record,
                        WireNames.OBSERVATIONS,
                        part.observations(),
                        MessageWriter::putObservation));
        return record;
    }

    private static void putCounter(GenericRecord record, CounterValue counter) {
        record.put(WireNames.GENERATION, counter.generation());
        record.put(WireNames.KEY, counter.key());
        record.put(WireNames.TOTAL, counter.total());
    }

    private static void putObservation(GenericRecord record, Observation observation) {
        record.put(WireNames.SITE, observation.observerSite());
        record.put(WireNames.SERVER, observation.server());
        record.put(WireNames.SERVER_SITE, observation.serverSite());
        record.put(WireNames.SERVER_STARTED_AT_MS, observation.serverStartedAtMs());
        record.put(WireNames.SUCCESSES, (float) observation.successes());
        record.put(WireNames.FAILURES, (float) observation.failures());
        record.put(WireNames.SEQUENCE_NUMBER, observation.sequenceNumber());
    }

    private static GenericRecord record(Schema union, String kind) {
        return union.getTypes().stream()
                .filter(type -> type.getName().equals(kind))
                .findFirst()
                .map(GenericData.Record::new)
                .orElseThrow();
    }

    /** Creates the records for an array field of another record. */
    private static <T> List<GenericRecord> records(
            GenericRecord parent, String field, List<T> values, BiConsumer<GenericRecord, T> put) {
        Schema item = parent.getSchema().getField(field).schema().getElementType();
        return values.stream()
                .map(
                        value -> {
                            GenericRecord record = new GenericData.Record(item);
                            put.accept(record, value);
                            return record;
                        })
                .toList();
    }
}
