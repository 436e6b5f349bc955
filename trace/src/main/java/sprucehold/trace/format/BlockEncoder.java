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

/** Writes entries into one block after the other; each block stands by itself. */
final class BlockEncoder {
    private final List<Source> sources;
    private final List<Map<String, Integer>> classIndexes;
    private final List<Map<String, Integer>> tenantIndexes;
    private final ByteArrayOutputStream blockBytes = new ByteArrayOutputStream(1 << 17);
    private final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream(1 << 10);
    private final CodedOutputStream block = CodedOutputStream.newInstance(blockBytes, 1 << 12);
    private final CodedOutputStream body = CodedOutputStream.newInstance(bodyBytes, 1 << 12);
    private final Map<String, Integer> names = new HashMap<>();
    private long seqBefore;
    private long timeBefore;

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

    /** Bytes in the block so far. */
    int size() throws IOException {
        block.flush();
        return blockBytes.size();
    }

    /** The block's raw bytes; the next one begins. */
    byte[] take() throws IOException {
        block.flush();
        byte[] raw = blockBytes.toByteArray();
        blockBytes.reset();
        names.clear();
        seqBefore = 0;
        timeBefore = 0;
        return raw;
    }

    void add(Entry entry) throws IOException {
        long seq = entry.seq();
        long time = Double.doubleToRawLongBits(entry.nowMs());
        body.writeUInt32NoTag(entry.source());
        body.writeSInt64NoTag(seq - seqBefore);
        body.writeSInt64NoTag(time - timeBefore);
        seqBefore = seq;
        timeBefore = time;
        if (entry instanceof Gap gap) {
            body.writeUInt64NoTag(gap.calls());
            body.writeDoubleNoTag(gap.toMs());
            end(RecordKind.GAP);
            return;
        }
        PolicyCall call = (PolicyCall) entry;
        body.writeUInt32NoTag(
                (call.policyFailed() ? RecordKind.FAILED : 0)
                        | (call.isComplete() ? 0 : RecordKind.LEFT_OUT));
        body.writeUInt32NoTag(call.total());
        end(RecordKind.POLICY_CALL);
        for (Item item : call.items()) {
            if (!call.isComplete()) {
                body.writeUInt32NoTag(item.index());
            }
            end(
                    item.event() != null
                            ? event(call.source(), item.event())
                            : command(item.command()));
        }
    }

    private void end(int kind) throws IOException {
        body.flush();
        block.writeUInt32NoTag(kind);
        block.writeUInt32NoTag(bodyBytes.size());
        block.writeRawBytes(bodyBytes.toByteArray());
        bodyBytes.reset();
    }

    private int event(int source, Event event) throws IOException {
        if (event instanceof Event.QueryReceived taken) {
            name(taken.id());
            body.writeUInt64NoTag(taken.number());
            Deployment deployment = sources.get(source).deployment();
            int type =
                    index(
                            classIndexes.get(source),
                            deployment.queryClasses(),
                            taken.queryClass(),
                            taken.queryClass().name());
            int tenant =
                    taken.tenant() == null
                            ? -1
                            : index(
                                    tenantIndexes.get(source),
                                    deployment.tenants(),
                                    taken.tenant(),
                                    taken.tenant().name());
            body.writeUInt32NoTag(type);
            body.writeUInt32NoTag(tenant + 1);
            number(taken.timeLeftMs());
            if (type == deployment.queryClasses().size()) {
                body.writeStringNoTag(TraceHeaderJson.text(taken.queryClass()));
            }
            if (tenant == deployment.tenants().size()) {
                body.writeStringNoTag(TraceHeaderJson.text(taken.tenant()));
            }
            return RecordKind.QUERY_RECEIVED;
        } else if (event instanceof Event.PartReceived taken) {
            name(taken.id());
            body.writeUInt64NoTag(taken.queryNumber());
            body.writeSInt32NoTag(taken.shard());
            number(taken.weight());
            return RecordKind.PART_RECEIVED;
        } else if (event instanceof Event.AttemptEnded ended) {
            name(ended.partId());
            body.writeUInt32NoTag(ended.attemptNumber());
            body.writeUInt32NoTag(ended.outcome().storedNumber());
            number(ended.durationMs());
            load(ended.load());
            return RecordKind.ATTEMPT_ENDED;
        } else if (event instanceof Event.ClientDisconnected left) {
            name(left.queryId());
            return RecordKind.CLIENT_DISCONNECTED;
        } else if (event instanceof Event.EndpointsUpdated list) {
            body.writeBoolNoTag(list.complete());
            body.writeUInt32NoTag(list.endpoints().size());
            for (Endpoint server : list.endpoints()) {
                name(server.server());
                body.writeSInt32NoTag(server.replicaGroup());
                name(server.zone());
                number(server.startedAtMs());
                body.writeUInt32NoTag(server.state().storedNumber());
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
            body.writeStringNoTag(TraceHeaderJson.text(changed.deployment()));
            return RecordKind.DEPLOYMENT_CHANGED;
        } else if (event instanceof Event.ClusterViewChanged told) {
            clusterView(told.view());
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
            for (SkippedReplica passed : sendAttempt.skipped()) {
                name(passed.server());
                body.writeUInt32NoTag(passed.cause().storedNumber());
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
        } else if (command instanceof Command.CheckHealth probe) {
            name(probe.server());
            return RecordKind.CHECK_HEALTH;
        } else if (command instanceof Command.SubscribeToEndpoints follow) {
            body.writeUInt32NoTag(follow.reason().storedNumber());
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

    /** In the order of their names, so that equal values are equal bytes. */
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

    /** The index of a fact among the header's; one beyond the last where it came by a change. */
    private static <F> int index(Map<String, Integer> index, List<F> facts, F fact, String name) {
        Integer at = index.get(name);
        return at != null && facts.get(at).equals(fact) ? at : facts.size();
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
     * Ids of parts begin with their query's, so a new name may be one that is known and a few
     * letters more.
     */
    private void name(String name) throws IOException {
        Integer known = names.get(name);
        if (known != null) {
            body.writeUInt32NoTag(known + 2);
            return;
        }
        names.put(name, names.size());
        int cut = Math.max(name.lastIndexOf('.'), name.lastIndexOf('/'));
        Integer prefix = cut <= 0 ? null : names.get(name.substring(0, cut));
        if (prefix == null) {
            body.writeUInt32NoTag(0);
            body.writeStringNoTag(name);
        } else {
            body.writeUInt32NoTag(1);
            body.writeUInt32NoTag(prefix);
            body.writeStringNoTag(name.substring(cut));
        }
    }
}
