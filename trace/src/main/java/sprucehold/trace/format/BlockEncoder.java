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
    private final List<Map<String, Integer>> types;
    private final List<Map<String, Integer>> customers;
    private final ByteArrayOutputStream block = new ByteArrayOutputStream(1 << 17);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(1 << 10);
    private final CodedOutputStream out = CodedOutputStream.newInstance(block, 1 << 12);
    private final CodedOutputStream to = CodedOutputStream.newInstance(body, 1 << 12);
    private final Map<String, Integer> names = new HashMap<>();
    private long seqBefore;
    private long timeBefore;

    BlockEncoder(List<Source> sources) {
        this.sources = sources;
        types =
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
        customers =
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
        out.flush();
        return block.size();
    }

    /** The block's raw bytes; the next one begins. */
    byte[] take() throws IOException {
        out.flush();
        byte[] raw = block.toByteArray();
        block.reset();
        names.clear();
        seqBefore = 0;
        timeBefore = 0;
        return raw;
    }

    void add(Entry entry) throws IOException {
        long seq = entry.seq();
        long time = Double.doubleToRawLongBits(entry.nowMs());
        to.writeUInt32NoTag(entry.source());
        to.writeSInt64NoTag(seq - seqBefore);
        to.writeSInt64NoTag(time - timeBefore);
        seqBefore = seq;
        timeBefore = time;
        if (entry instanceof Gap gap) {
            to.writeUInt64NoTag(gap.calls());
            to.writeDoubleNoTag(gap.toMs());
            end(RecordKind.GAP);
            return;
        }
        PolicyCall call = (PolicyCall) entry;
        to.writeUInt32NoTag(
                (call.policyFailed() ? RecordKind.FAILED : 0)
                        | (call.isComplete() ? 0 : RecordKind.LEFT_OUT));
        to.writeUInt32NoTag(call.total());
        end(RecordKind.MOMENT);
        for (Item item : call.items()) {
            if (!call.isComplete()) {
                to.writeUInt32NoTag(item.index());
            }
            end(item.event() != null ? event(call.source(), item.event()) : action(item.command()));
        }
    }

    private void end(int kind) throws IOException {
        to.flush();
        out.writeUInt32NoTag(kind);
        out.writeUInt32NoTag(body.size());
        out.writeRawBytes(body.toByteArray());
        body.reset();
    }

    private int event(int source, Event event) throws IOException {
        if (event instanceof Event.QueryReceived taken) {
            name(taken.id());
            to.writeUInt64NoTag(taken.number());
            Deployment deployment = sources.get(source).deployment();
            int type =
                    index(
                            types.get(source),
                            deployment.queryClasses(),
                            taken.queryClass(),
                            taken.queryClass().name());
            int customer =
                    taken.tenant() == null
                            ? -1
                            : index(
                                    customers.get(source),
                                    deployment.tenants(),
                                    taken.tenant(),
                                    taken.tenant().name());
            to.writeUInt32NoTag(type);
            to.writeUInt32NoTag(customer + 1);
            number(taken.timeLeftMs());
            if (type == deployment.queryClasses().size()) {
                to.writeStringNoTag(TraceHeaderJson.text(taken.queryClass()));
            }
            if (customer == deployment.tenants().size()) {
                to.writeStringNoTag(TraceHeaderJson.text(taken.tenant()));
            }
            return RecordKind.SCAN_TAKEN;
        } else if (event instanceof Event.PartReceived taken) {
            name(taken.id());
            to.writeUInt64NoTag(taken.queryNumber());
            to.writeSInt32NoTag(taken.shard());
            number(taken.weight());
            return RecordKind.PART_TAKEN;
        } else if (event instanceof Event.AttemptEnded ended) {
            name(ended.partId());
            to.writeUInt32NoTag(ended.attemptNumber());
            to.writeUInt32NoTag(ended.outcome().storedNumber());
            number(ended.durationMs());
            load(ended.load());
            return RecordKind.DISPATCH_ENDED;
        } else if (event instanceof Event.ClientDisconnected left) {
            name(left.queryId());
            return RecordKind.CLIENT_LEFT;
        } else if (event instanceof Event.EndpointsUpdated list) {
            to.writeBoolNoTag(list.complete());
            to.writeUInt32NoTag(list.endpoints().size());
            for (Endpoint server : list.endpoints()) {
                name(server.server());
                to.writeSInt32NoTag(server.replicaGroup());
                name(server.zone());
                number(server.startedAtMs());
                to.writeUInt32NoTag(server.state().storedNumber());
            }
            return RecordKind.LIST_RECEIVED;
        } else if (event instanceof Event.EndpointsUnavailable) {
            return RecordKind.LIST_UNAVAILABLE;
        } else if (event instanceof Event.HealthCheckEnded ended) {
            name(ended.server());
            to.writeUInt32NoTag(ended.outcome().storedNumber());
            number(ended.durationMs());
            load(ended.load());
            return RecordKind.PROBE_ENDED;
        }
        if (event instanceof Event.DeploymentChanged changed) {
            to.writeStringNoTag(TraceHeaderJson.text(changed.deployment()));
            return RecordKind.FACTS_CHANGED;
        } else if (event instanceof Event.ClusterViewChanged told) {
            others(told.view());
            return RecordKind.OTHERS_TOLD;
        }
        return RecordKind.WOKEN;
    }

    private int action(Command command) throws IOException {
        if (command instanceof Command.SendAttempt sendAttempt) {
            name(sendAttempt.partId());
            name(sendAttempt.server());
            number(sendAttempt.timeoutMs());
            to.writeUInt32NoTag(sendAttempt.reason().storedNumber());
            to.writeUInt32NoTag(sendAttempt.position());
            to.writeUInt32NoTag(sendAttempt.skipped().size());
            for (SkippedReplica passed : sendAttempt.skipped()) {
                name(passed.server());
                to.writeUInt32NoTag(passed.cause().storedNumber());
            }
            return RecordKind.DISPATCH;
        } else if (command instanceof Command.CancelAttempt cancel) {
            name(cancel.partId());
            to.writeUInt32NoTag(cancel.attemptNumber());
            to.writeUInt32NoTag(cancel.reason().storedNumber());
            return RecordKind.CANCEL;
        } else if (command instanceof Command.AnswerQuery answer) {
            name(answer.queryId());
            to.writeBoolNoTag(answer.complete());
            to.writeUInt32NoTag(answer.reason().storedNumber());
            return RecordKind.ANSWER;
        } else if (command instanceof Command.RejectQuery throttle) {
            name(throttle.queryId());
            number(throttle.retryAfterMs());
            to.writeUInt32NoTag(throttle.reason().storedNumber());
            return RecordKind.THROTTLE;
        } else if (command instanceof Command.FailQuery abandon) {
            name(abandon.queryId());
            to.writeUInt32NoTag(abandon.reason().storedNumber());
            return RecordKind.ABANDON;
        } else if (command instanceof Command.ScheduleWakeUp wake) {
            number(wake.delayMs());
            return RecordKind.WAKE;
        } else if (command instanceof Command.CheckHealth probe) {
            name(probe.server());
            return RecordKind.PROBE;
        } else if (command instanceof Command.SubscribeToEndpoints follow) {
            to.writeUInt32NoTag(follow.reason().storedNumber());
            return RecordKind.FOLLOW_LIST;
        }
        if (command instanceof Command.ConsumeAllowance use) {
            bound(use.limit());
            to.writeUInt32NoTag(use.units());
            return RecordKind.USE;
        }
        to.writeStringNoTag(((Command.LogMessage) command).text());
        return RecordKind.NOTE;
    }

    /** In the order of their names, so that equal values are equal bytes. */
    private void others(ClusterView clusterView) throws IOException {
        to.writeUInt32NoTag(clusterView.gatherers());
        to.writeUInt32NoTag(clusterView.allowances().size());
        for (SharedLimit bound :
                clusterView.allowances().keySet().stream()
                        .sorted(
                                Comparator.comparing(SharedLimit::kind)
                                        .thenComparing(SharedLimit::subject))
                        .toList()) {
            bound(bound);
            to.writeUInt32NoTag(clusterView.allowances().get(bound));
        }
        to.writeUInt32NoTag(clusterView.failureScores().size());
        for (String server : clusterView.failureScores().keySet().stream().sorted().toList()) {
            name(server);
            number(clusterView.failureScores().get(server));
        }
    }

    private void bound(SharedLimit bound) throws IOException {
        to.writeUInt32NoTag(bound.kind().storedNumber());
        name(bound.subject());
    }

    /** The index of a fact among the head's; one beyond the last where it came by a change. */
    private static <F> int index(Map<String, Integer> index, List<F> facts, F fact, String name) {
        Integer at = index.get(name);
        return at != null && facts.get(at).equals(fact) ? at : facts.size();
    }

    private void load(LoadReport load) throws IOException {
        to.writeBoolNoTag(load != null);
        if (load != null) {
            number(load.held());
            number(load.queued());
            number(load.busy());
        }
    }

    private void number(double value) throws IOException {
        to.writeUInt64NoTag(Long.reverseBytes(Double.doubleToRawLongBits(value)));
    }

    /**
     * Ids of parts begin with their scan's, so a new name may be one that is known and a few
     * letters more.
     */
    private void name(String name) throws IOException {
        Integer known = names.get(name);
        if (known != null) {
            to.writeUInt32NoTag(known + 2);
            return;
        }
        names.put(name, names.size());
        int cut = Math.max(name.lastIndexOf('.'), name.lastIndexOf('/'));
        Integer prefix = cut <= 0 ? null : names.get(name.substring(0, cut));
        if (prefix == null) {
            to.writeUInt32NoTag(0);
            to.writeStringNoTag(name);
        } else {
            to.writeUInt32NoTag(1);
            to.writeUInt32NoTag(prefix);
            to.writeStringNoTag(name.substring(cut));
        }
    }
}
