package sprucehold.trace.format;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sprucehold.port.Action;
import sprucehold.port.Bound;
import sprucehold.port.Deployment;
import sprucehold.port.Event;
import sprucehold.port.Listing;
import sprucehold.port.LoadReport;
import sprucehold.port.Others;
import sprucehold.port.PassedOver;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.Moment;
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
                                    source.facts()
                                            .tableTypes()
                                            .forEach(type -> index.put(type.name(), index.size()));
                                    return (Map<String, Integer>) index;
                                })
                        .toList();
        customers =
                sources.stream()
                        .map(
                                source -> {
                                    var index = new HashMap<String, Integer>();
                                    source.facts()
                                            .customers()
                                            .forEach(
                                                    customer ->
                                                            index.put(
                                                                    customer.name(), index.size()));
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
            to.writeUInt64NoTag(gap.moments());
            to.writeDoubleNoTag(gap.toMs());
            end(RecordKind.GAP);
            return;
        }
        Moment moment = (Moment) entry;
        to.writeUInt32NoTag(
                (moment.failed() ? RecordKind.FAILED : 0)
                        | (moment.whole() ? 0 : RecordKind.LEFT_OUT));
        to.writeUInt32NoTag(moment.total());
        end(RecordKind.MOMENT);
        for (Item item : moment.items()) {
            if (!moment.whole()) {
                to.writeUInt32NoTag(item.index());
            }
            end(
                    item.event() != null
                            ? event(moment.source(), item.event())
                            : action(item.action()));
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
        if (event instanceof Event.ScanTaken taken) {
            name(taken.id());
            to.writeUInt64NoTag(taken.number());
            Deployment facts = sources.get(source).facts();
            int type =
                    index(types.get(source), facts.tableTypes(), taken.type(), taken.type().name());
            int customer =
                    taken.customer() == null
                            ? -1
                            : index(
                                    customers.get(source),
                                    facts.customers(),
                                    taken.customer(),
                                    taken.customer().name());
            to.writeUInt32NoTag(type);
            to.writeUInt32NoTag(customer + 1);
            number(taken.timeLeftMs());
            if (type == facts.tableTypes().size()) {
                to.writeStringNoTag(HeadJson.text(taken.type()));
            }
            if (customer == facts.customers().size()) {
                to.writeStringNoTag(HeadJson.text(taken.customer()));
            }
            return RecordKind.SCAN_TAKEN;
        } else if (event instanceof Event.PartTaken taken) {
            name(taken.id());
            to.writeUInt64NoTag(taken.scanNumber());
            to.writeSInt32NoTag(taken.segment());
            number(taken.weight());
            return RecordKind.PART_TAKEN;
        } else if (event instanceof Event.DispatchEnded ended) {
            name(ended.partId());
            to.writeUInt32NoTag(ended.number());
            to.writeUInt32NoTag(ended.ending().ordinal());
            number(ended.tookMs());
            load(ended.load());
            return RecordKind.DISPATCH_ENDED;
        } else if (event instanceof Event.ClientLeft left) {
            name(left.scanId());
            return RecordKind.CLIENT_LEFT;
        } else if (event instanceof Event.ListReceived list) {
            to.writeBoolNoTag(list.complete());
            to.writeUInt32NoTag(list.servers().size());
            for (Listing server : list.servers()) {
                name(server.server());
                to.writeSInt32NoTag(server.cell());
                name(server.zone());
                number(server.startedAtMs());
                to.writeUInt32NoTag(server.mode().ordinal());
            }
            return RecordKind.LIST_RECEIVED;
        } else if (event instanceof Event.ListUnavailable) {
            return RecordKind.LIST_UNAVAILABLE;
        } else if (event instanceof Event.ProbeEnded ended) {
            name(ended.server());
            to.writeUInt32NoTag(ended.ending().ordinal());
            number(ended.tookMs());
            load(ended.load());
            return RecordKind.PROBE_ENDED;
        }
        if (event instanceof Event.FactsChanged changed) {
            to.writeStringNoTag(HeadJson.text(changed.facts()));
            return RecordKind.FACTS_CHANGED;
        } else if (event instanceof Event.OthersTold told) {
            others(told.others());
            return RecordKind.OTHERS_TOLD;
        }
        return RecordKind.WOKEN;
    }

    private int action(Action action) throws IOException {
        if (action instanceof Action.Dispatch dispatch) {
            name(dispatch.partId());
            name(dispatch.server());
            number(dispatch.timeoutMs());
            to.writeUInt32NoTag(dispatch.reason().ordinal());
            to.writeUInt32NoTag(dispatch.position());
            to.writeUInt32NoTag(dispatch.passedOver().size());
            for (PassedOver passed : dispatch.passedOver()) {
                name(passed.server());
                to.writeUInt32NoTag(passed.cause().ordinal());
            }
            return RecordKind.DISPATCH;
        } else if (action instanceof Action.Cancel cancel) {
            name(cancel.partId());
            to.writeUInt32NoTag(cancel.number());
            to.writeUInt32NoTag(cancel.reason().ordinal());
            return RecordKind.CANCEL;
        } else if (action instanceof Action.Answer answer) {
            name(answer.scanId());
            to.writeBoolNoTag(answer.whole());
            to.writeUInt32NoTag(answer.reason().ordinal());
            return RecordKind.ANSWER;
        } else if (action instanceof Action.Throttle throttle) {
            name(throttle.scanId());
            number(throttle.comeBackMs());
            to.writeUInt32NoTag(throttle.reason().ordinal());
            return RecordKind.THROTTLE;
        } else if (action instanceof Action.Abandon abandon) {
            name(abandon.scanId());
            to.writeUInt32NoTag(abandon.reason().ordinal());
            return RecordKind.ABANDON;
        } else if (action instanceof Action.Wake wake) {
            number(wake.delayMs());
            return RecordKind.WAKE;
        } else if (action instanceof Action.Probe probe) {
            name(probe.server());
            return RecordKind.PROBE;
        } else if (action instanceof Action.FollowList follow) {
            to.writeUInt32NoTag(follow.reason().ordinal());
            return RecordKind.FOLLOW_LIST;
        }
        if (action instanceof Action.Use use) {
            bound(use.bound());
            to.writeUInt32NoTag(use.units());
            return RecordKind.USE;
        }
        to.writeStringNoTag(((Action.Note) action).line());
        return RecordKind.NOTE;
    }

    /** In the order of their names, so that equal values are equal bytes. */
    private void others(Others others) throws IOException {
        to.writeUInt32NoTag(others.gatherers());
        to.writeUInt32NoTag(others.room().size());
        for (Bound bound :
                others.room().keySet().stream()
                        .sorted(Comparator.comparing(Bound::kind).thenComparing(Bound::of))
                        .toList()) {
            bound(bound);
            to.writeUInt32NoTag(others.room().get(bound));
        }
        to.writeUInt32NoTag(others.trouble().size());
        for (String server : others.trouble().keySet().stream().sorted().toList()) {
            name(server);
            number(others.trouble().get(server));
        }
    }

    private void bound(Bound bound) throws IOException {
        to.writeUInt32NoTag(bound.kind().ordinal());
        name(bound.of());
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
