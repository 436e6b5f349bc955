package sprucehold.trace.format;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.Deployment;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.LoadReport;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.SkippedReplica;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;

/** Encodes entries into successive blocks; each block can be decoded without the others. */
final class BlockEncoder {
    private final List<Source> sources;
    private final List<Map<String, Integer>> classIndexes;
    private final List<Map<String, Integer>> tenantIndexes;
    private final ByteArrayOutputStream blockBytes = new ByteArrayOutputStream(1 << 17);
    private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream(1 << 10);
    private final CodedOutputStream block = CodedOutputStream.newInstance(blockBytes, 1 << 12);
    private final CodedOutputStream body = CodedOutputStream.newInstance(bodyBytes, 1 << 12);
    private final Map<String, Integer> names = new HashMap<>();
    private long previousSeq;
    private long previousTimeBits;

    BlockEncoder(List<Source> sources) {
        this.sources = sources;
        classIndexes =
                sources.stream()
                        .map(
                                source -> {
                                    var index = new HashMap<String, Integer>();
                                    source.deployment()
                                            .queryClasses()
                                            .forEach(type -> index.put(type.name(), index.size()));
                                    return (Map<String, Integer>) index;
                                })
                        .toList();
        tenantIndexes =
                sources.stream()
                        .map(
                                source -> {
                                    var index = new HashMap<String, Integer>();
                                    source.deployment()
                                            .tenants()
                                            .forEach(
                                                    tenant ->
                                                            index.put(tenant.name(), index.size()));
                                    return (Map<String, Integer>) index;
                                })
                        .toList();
    }

    /** Returns the length of the current block in bytes. */
    int size() throws IOException {
        block.flush();
        return blockBytes.size();
    }

    /** Returns the raw bytes of the current block and starts the next block. */
    byte[] finishBlock() throws IOException {
        block.flush();
        byte[] raw = blockBytes.toByteArray();
        blockBytes.reset();
        names.clear();
        previousSeq = 0;
        previousTimeBits = 0;
        return raw;
    }

    void add(Entry entry) throws IOException {
        long seq = entry.seq();
        long timeBits = Double.doubleToRawLongBits(entry.nowMs());
        body.writeUInt32NoTag(entry.source());
        body.writeSInt64NoTag(seq - previousSeq);
        body.writeSInt64NoTag(timeBits - previousTimeBits);
        previousSeq = seq;
        previousTimeBits = timeBits;
        if (entry instanceof Gap gap) {
            body.writeUInt64NoTag(gap.calls());
            body.writeDoubleNoTag(gap.toMs());
            endRecord(RecordKind.GAP);
            return;
        }
        PolicyCall call = (PolicyCall) entry;
        body.writeUInt32NoTag(
                (call.policyFailed() ? RecordKind.POLICY_FAILED : 0)
                        | (call.isComplete() ? 0 : RecordKind.ITEMS_OMITTED));
        body.writeUInt32NoTag(call.total());
        endRecord(RecordKind.POLICY_CALL);
        for (Item item : call.items()) {
            if (!call.isComplete()) {
                body.writeUInt32NoTag(item.index());
            }
            endRecord(
                    item.event() != null
                            ? event(call.source(), item.event())
                            : command(item.command()));
        }
    }

    private void endRecord(int kind) throws IOException {
        body.flush();
        block.writeUInt32NoTag(kind);
        block.writeUInt32NoTag(bodyBytes.size());
        block.writeRawBytes(bodyBytes.toByteArray());
        bodyBytes.reset();
    }

    private int event(int source, Event event) throws IOException {
        if (event instanceof Event.QueryReceived received) {
            name(received.id());
            body.writeUInt64NoTag(received.number());
            Deployment deployment = sources.get(source).deployment();
            int classIndex =
                    indexOf(
                            classIndexes.get(source),
                            deployment.queryClasses(),
                            received.queryClass(),
                            received.queryClass().name());
            int tenantIndex =
                    received.tenant() == null
                            ? -1
                            : indexOf(
                                    tenantIndexes.get(source),
                                    deployment.tenants(),
                                    received.tenant(),
                                    received.tenant().name());
            body.writeUInt32NoTag(classIndex);
            body.writeUInt32NoTag(tenantIndex + 1);
            number(received.timeLeftMs());
            if (classIndex == deployment.queryClasses().size()) {
                body.writeStringNoTag(TraceHeaderJson.toJson(received.queryClass()));
            }
            if (tenantIndex == deployment.tenants().size()) {
                body.writeStringNoTag(TraceHeaderJson.toJson(received.tenant()));
            }
            return RecordKind.QUERY_RECEIVED;
        } else if (event instanceof Event.PartReceived received) {
            name(received.id());
            body.writeUInt64NoTag(received.queryNumber());
            body.writeSInt32NoTag(received.shard());
            number(received.weight());
            return RecordKind.PART_RECEIVED;
        } else if (event instanceof Event.AttemptEnded ended) {
            name(ended.partId());
            body.writeUInt32NoTag(ended.attemptNumber());
            body.writeUInt32NoTag(ended.outcome().storedNumber());
            number(ended.durationMs());
            load(ended.load());
            return RecordKind.ATTEMPT_ENDED;
        } else if (event instanceof Event.ClientDisconnected disconnected) {
            name(disconnected.queryId());
            return RecordKind.CLIENT_DISCONNECTED;
        } else if (event instanceof Event.EndpointsUpdated update) {
            body.writeBoolNoTag(update.complete());
            body.writeUInt32NoTag(update.endpoints().size());
            for (Endpoint endpoint : update.endpoints()) {
                name(endpoint.server());
                body.writeSInt32NoTag(endpoint.replicaGroup());
                name(endpoint.zone());
                number(endpoint.startedAtMs());
                body.writeUInt32NoTag(endpoint.state().storedNumber());
            }
            return RecordKind.ENDPOINTS_UPDATED;
        } else if (event instanceof Event.EndpointsUnavailable) {
            return RecordKind.ENDPOINTS_UNAVAILABLE;
        } else if (event instanceof Event.HealthCheckEnded ended) {
            name(ended.server());
            body.writeUInt32NoTag(ended.outcome().storedNumber());
            number(ended.durationMs());
            load(ended.load());
            return RecordKind.HEALTH_CHECK_ENDED;
        }
        if (event instanceof Event.DeploymentChanged changed) {
            body.writeStringNoTag(TraceHeaderJson.toJson(changed.deployment()));
            return RecordKind.DEPLOYMENT_CHANGED;
        } else if (event instanceof Event.ClusterViewChanged viewChanged) {
            clusterView(viewChanged.view());
            return RecordKind.CLUSTER_VIEW_CHANGED;
        }
        return RecordKind.WAKE_UP;
    }

    private int command(Command command) throws IOException {
        if (command instanceof Command.SendAttempt sendAttempt) {
            name(sendAttempt.partId());
            name(sendAttempt.server());
            number(sendAttempt.timeoutMs());
            body.writeUInt32NoTag(sendAttempt.reason().storedNumber());
            body.writeUInt32NoTag(sendAttempt.position());
            body.writeUInt32NoTag(sendAttempt.skipped().size());
            for (SkippedReplica skipped : sendAttempt.skipped()) {
                name(skipped.server());
                body.writeUInt32NoTag(skipped.cause().storedNumber());
            }
            return RecordKind.SEND_ATTEMPT;
        } else if (command instanceof Command.CancelAttempt cancel) {
            name(cancel.partId());
            body.writeUInt32NoTag(cancel.attemptNumber());
            body.writeUInt32NoTag(cancel.reason().storedNumber());
            return RecordKind.CANCEL_ATTEMPT;
        } else if (command instanceof Command.AnswerQuery answer) {
            name(answer.queryId());
            body.writeBoolNoTag(answer.complete());
            body.writeUInt32NoTag(answer.reason().storedNumber());
            return RecordKind.ANSWER_QUERY;
        } else if (command instanceof Command.RejectQuery rejection) {
            name(rejection.queryId());
            number(rejection.retryAfterMs());
            body.writeUInt32NoTag(rejection.reason().storedNumber());
            return RecordKind.REJECT_QUERY;
        } else if (command instanceof Command.FailQuery failure) {
            name(failure.queryId());
            body.writeUInt32NoTag(failure.reason().storedNumber());
            return RecordKind.FAIL_QUERY;
        } else if (command instanceof Command.ScheduleWakeUp wakeUp) {
            number(wakeUp.delayMs());
            return RecordKind.SCHEDULE_WAKE_UP;
        } else if (command instanceof Command.CheckHealth healthCheck) {
            name(healthCheck.server());
            return RecordKind.CHECK_HEALTH;
        } else if (command instanceof Command.SubscribeToEndpoints subscription) {
            body.writeUInt32NoTag(subscription.reason().storedNumber());
            return RecordKind.SUBSCRIBE_TO_ENDPOINTS;
        }
        if (command instanceof Command.ConsumeAllowance consumed) {
            sharedLimit(consumed.limit());
            body.writeUInt32NoTag(consumed.units());
            return RecordKind.CONSUME_ALLOWANCE;
        }
        body.writeStringNoTag(((Command.LogMessage) command).text());
        return RecordKind.LOG_MESSAGE;
    }

    /** Writes the maps in the order of their keys, so that equal views have equal bytes. */
    private void clusterView(ClusterView clusterView) throws IOException {
        body.writeUInt32NoTag(clusterView.gatherers());
        body.writeUInt32NoTag(clusterView.allowances().size());
        for (SharedLimit limit :
                clusterView.allowances().keySet().stream()
                        .sorted(
                                Comparator.comparing(SharedLimit::kind)
                                        .thenComparing(SharedLimit::subject))
                        .toList()) {
            sharedLimit(limit);
            body.writeUInt32NoTag(clusterView.allowances().get(limit));
        }
        body.writeUInt32NoTag(clusterView.failureScores().size());
        for (String server : clusterView.failureScores().keySet().stream().sorted().toList()) {
            name(server);
            number(clusterView.failureScores().get(server));
        }
    }

    private void sharedLimit(SharedLimit limit) throws IOException {
        body.writeUInt32NoTag(limit.kind().storedNumber());
        name(limit.subject());
    }

    /**
     * Returns the index of a query class or tenant in the header's deployment, or the index after
     * the last one if the header doesn't contain an equal value.
     */
    private static <T> int indexOf(
            Map<String, Integer> indexes, List<T> headerValues, T value, String name) {
        Integer index = indexes.get(name);
        return index != null && headerValues.get(index).equals(value) ? index : headerValues.size();
    }

    private void load(LoadReport load) throws IOException {
        body.writeBoolNoTag(load != null);
        if (load != null) {
            number(load.held());
            number(load.queued());
            number(load.busy());
        }
    }

    private void number(double value) throws IOException {
        body.writeUInt64NoTag(Long.reverseBytes(Double.doubleToRawLongBits(value)));
    }

    /**
     * Writes a name. The id of a part begins with the id of its query, so a new name is written as
     * an earlier name and a suffix where possible.
     */
    private void name(String name) throws IOException {
        Integer nameNumber = names.get(name);
        if (nameNumber != null) {
            body.writeUInt32NoTag(nameNumber + 2);
            return;
        }
        names.put(name, names.size());
        int separator = Math.max(name.lastIndexOf('.'), name.lastIndexOf('/'));
        Integer prefixNumber = separator <= 0 ? null : names.get(name.substring(0, separator));
        if (prefixNumber == null) {
            body.writeUInt32NoTag(0);
            body.writeStringNoTag(name);
        } else {
            body.writeUInt32NoTag(1);
            body.writeUInt32NoTag(prefixNumber);
            body.writeStringNoTag(name.substring(separator));
        }
    }
}
