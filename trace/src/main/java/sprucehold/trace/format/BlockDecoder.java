package sprucehold.trace.format;

import com.google.protobuf.CodedInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Optional;
import sprucehold.decision.AttemptOutcome;
import sprucehold.decision.ClusterView;
import sprucehold.decision.Command;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;
import sprucehold.decision.LoadReport;
import sprucehold.decision.QueryClass;
import sprucehold.decision.Reason;
import sprucehold.decision.SharedLimit;
import sprucehold.decision.SkippedReplica;
import sprucehold.decision.Tenant;
import sprucehold.trace.event.Entry;
import sprucehold.trace.event.Gap;
import sprucehold.trace.event.Item;
import sprucehold.trace.event.PolicyCall;
import sprucehold.trace.event.Source;

/** Decodes the entries of one block. */
final class BlockDecoder {
    private static final StoredNumbers<AttemptOutcome> OUTCOMES =
            new StoredNumbers<>(AttemptOutcome.values());
    private static final StoredNumbers<Reason> REASONS = new StoredNumbers<>(Reason.values());
    private static final StoredNumbers<Endpoint.State> STATES =
            new StoredNumbers<>(Endpoint.State.values());
    private static final StoredNumbers<SharedLimit.Kind> LIMITS =
            new StoredNumbers<>(SharedLimit.Kind.values());
    private static final StoredNumbers<SkippedReplica.Cause> CAUSES =
            new StoredNumbers<>(SkippedReplica.Cause.values());

    private final List<Source> sources;
    private final CodedInputStream in;
    private final List<String> names = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private long previousSeq;
    private long previousTimeBits;
    private long nameChars;
    private int objects;

    /** Policy call whose items are being read, without the items; null before the first call. */
    private PolicyCall currentCall;

    private boolean itemsOmitted;
    private List<Item> items = new ArrayList<>();

    private BlockDecoder(List<Source> sources, byte[] raw) {
        this.sources = sources;
        this.in = CodedInputStream.newInstance(raw);
    }

    /**
     * Decodes a block.
     *
     * @throws IOException if the bytes are not valid entries; the message describes the fault
     */
    static List<Entry> decode(List<Source> sources, byte[] raw) throws IOException {
        try {
            var decoder = new BlockDecoder(sources, raw);
            decoder.decodeRecords();
            return decoder.entries;
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new IOException("a number that leads nowhere: " + e.getMessage(), e);
        }
    }

    private void decodeRecords() throws IOException {
        while (!in.isAtEnd()) {
            int kind = in.readUInt32();
            int length = in.readUInt32();
            int outerLimit = in.pushLimit(length);
            decodeRecord(kind);
            // Skips fields added by a newer minor version.
            in.skipRawBytes(in.getBytesUntilLimit());
            in.popLimit(outerLimit);
        }
        finishCall();
    }

    private void finishCall() {
        if (currentCall != null) {
            entries.add(currentCall.withItems(items));
            items = new ArrayList<>();
            currentCall = null;
        }
    }

    private void decodeRecord(int kind) throws IOException {
        countObjects(1);
        if (kind == RecordKind.POLICY_CALL || kind == RecordKind.GAP) {
            finishCall();
            int source = in.readUInt32();
            if (source < 0 || source >= sources.size()) {
                throw new IOException("source " + source + " of " + sources.size());
            }
            previousSeq += in.readSInt64();
            previousTimeBits += in.readSInt64();
            double nowMs = Double.longBitsToDouble(previousTimeBits);
            if (kind == RecordKind.GAP) {
                entries.add(new Gap(source, previousSeq, nowMs, in.readUInt64(), in.readDouble()));
                return;
            }
            int flags = in.readUInt32();
            itemsOmitted = (flags & RecordKind.ITEMS_OMITTED) != 0;
            currentCall =
                    new PolicyCall(
                            source,
                            previousSeq,
                            nowMs,
                            (flags & RecordKind.POLICY_FAILED) != 0,
                            in.readUInt32(),
                            List.of());
            return;
        }
        if (kind < RecordKind.QUERY_RECEIVED
                || kind > RecordKind.CONSUME_ALLOWANCE
                || (kind > RecordKind.CLUSTER_VIEW_CHANGED && kind < RecordKind.SEND_ATTEMPT)) {
            return;
        }
        if (currentCall == null) {
            throw new IOException("an item of kind " + kind + " before any policy call");
        }
        int index = itemsOmitted ? in.readUInt32() : items.size();
        Item item =
                kind < RecordKind.SEND_ATTEMPT
                        ? new Item(index, event(kind), null)
                        : new Item(index, null, command(kind));
        items.add(item);
    }

    private Event event(int kind) throws IOException {
        return switch (kind) {
            case RecordKind.QUERY_RECEIVED -> {
                var deployment = sources.get(currentCall.source()).deployment();
                String id = name();
                long number = in.readUInt64();
                int classIndex = in.readUInt32();
                int tenantIndex = in.readUInt32();
                double timeLeftMs = number();
                QueryClass queryClass =
                        classIndex == deployment.queryClasses().size()
                                ? TraceHeaderJson.read(in.readStringRequireUtf8(), QueryClass.class)
                                : deployment.queryClasses().get(classIndex);
                Tenant tenant =
                        tenantIndex == 0
                                ? null
                                : tenantIndex == deployment.tenants().size() + 1
                                        ? TraceHeaderJson.read(
                                                in.readStringRequireUtf8(), Tenant.class)
                                        : deployment.tenants().get(tenantIndex - 1);
                yield new Event.QueryReceived(id, number, queryClass, tenant, timeLeftMs);
            }
            case RecordKind.PART_RECEIVED ->
                    new Event.PartReceived(name(), in.readUInt64(), in.readSInt32(), number());
            case RecordKind.ATTEMPT_ENDED ->
                    new Event.AttemptEnded(
                            name(),
                            in.readUInt32(),
                            OUTCOMES.required(in.readUInt32()),
                            number(),
                            load());
            case RecordKind.CLIENT_DISCONNECTED -> new Event.ClientDisconnected(name());
            case RecordKind.ENDPOINTS_UPDATED -> {
                boolean complete = in.readBool();
                int count = in.readUInt32();
                countObjects(count);
                var servers = new ArrayList<Endpoint>();
                for (int i = 0; i < count; i++) {
                    servers.add(
                            new Endpoint(
                                    name(),
                                    in.readSInt32(),
                                    name(),
                                    number(),
                                    STATES.required(in.readUInt32())));
                }
                yield new Event.EndpointsUpdated(complete, List.copyOf(servers));
            }
            case RecordKind.ENDPOINTS_UNAVAILABLE -> new Event.EndpointsUnavailable();
            case RecordKind.HEALTH_CHECK_ENDED ->
                    new Event.HealthCheckEnded(
                            name(), OUTCOMES.required(in.readUInt32()), number(), load());
            case RecordKind.DEPLOYMENT_CHANGED ->
                    new Event.DeploymentChanged(
                            TraceHeaderJson.deployment(in.readStringRequireUtf8()));
            case RecordKind.CLUSTER_VIEW_CHANGED -> new Event.ClusterViewChanged(clusterView());
            default -> new Event.WakeUp();
        };
    }

    private Command command(int kind) throws IOException {
        return switch (kind) {
            case RecordKind.SEND_ATTEMPT -> {
                String part = name();
                String server = name();
                double timeout = number();
                Reason reason = reason();
                int position = in.readUInt32();
                int count = in.readUInt32();
                countObjects(count);
                var skippedReplicas = new ArrayList<SkippedReplica>();
                for (int i = 0; i < count; i++) {
                    String skippedServer = name();
                    CAUSES.known(in.readUInt32())
                            .ifPresent(
                                    cause ->
                                            skippedReplicas.add(
                                                    new SkippedReplica(skippedServer, cause)));
                }
                yield new Command.SendAttempt(
                        part, server, timeout, reason, position, List.copyOf(skippedReplicas));
            }
            case RecordKind.CANCEL_ATTEMPT ->
                    new Command.CancelAttempt(name(), in.readUInt32(), reason());
            case RecordKind.ANSWER_QUERY ->
                    new Command.AnswerQuery(name(), in.readBool(), reason());
            case RecordKind.REJECT_QUERY -> new Command.RejectQuery(name(), number(), reason());
            case RecordKind.FAIL_QUERY -> new Command.FailQuery(name(), reason());
            case RecordKind.SCHEDULE_WAKE_UP -> new Command.ScheduleWakeUp(number());
            case RecordKind.CHECK_HEALTH -> new Command.CheckHealth(name());
            case RecordKind.SUBSCRIBE_TO_ENDPOINTS -> new Command.SubscribeToEndpoints(reason());
            case RecordKind.CONSUME_ALLOWANCE -> {
                SharedLimit limit = sharedLimit();
                int units = in.readUInt32();
                yield limit == null
                        ? new Command.LogMessage(
                                units + " units of a bound that this build can't name")
                        : new Command.ConsumeAllowance(limit, units);
            }
            default -> new Command.LogMessage(in.readStringRequireUtf8());
        };
    }

    private ClusterView clusterView() throws IOException {
        int gatherers = in.readUInt32();
        int limits = in.readUInt32();
        countObjects(limits);
        var allowances = new HashMap<SharedLimit, Integer>();
        for (int i = 0; i < limits; i++) {
            SharedLimit limit = sharedLimit();
            int units = in.readUInt32();
            if (limit != null) {
                allowances.put(limit, units);
            }
        }
        int servers = in.readUInt32();
        countObjects(servers);
        var failureScores = new HashMap<String, Double>();
        for (int i = 0; i < servers; i++) {
            failureScores.put(name(), number());
        }
        return new ClusterView(gatherers, allowances, failureScores);
    }

    /** Reads a shared limit; returns null for a kind that a newer minor version added. */
    private SharedLimit sharedLimit() throws IOException {
        Optional<SharedLimit.Kind> kind = LIMITS.known(in.readUInt32());
        String subject = name();
        return kind.map(known -> new SharedLimit(known, subject)).orElse(null);
    }

    /** Reads a reason; returns {@code UNSTATED} for a reason that a newer minor version added. */
    private Reason reason() throws IOException {
        return REASONS.known(in.readUInt32()).orElse(Reason.UNSTATED);
    }

    private LoadReport load() throws IOException {
        return in.readBool() ? new LoadReport(number(), number(), number()) : null;
    }

    private double number() throws IOException {
        return Double.longBitsToDouble(Long.reverseBytes(in.readUInt64()));
    }

    private String name() throws IOException {
        int form = in.readUInt32();
        if (form > 1) {
            return names.get(form - 2);
        }
        String name =
                form == 0
                        ? in.readStringRequireUtf8()
                        : names.get(in.readUInt32()) + in.readStringRequireUtf8();
        names.add(name);
        // A name may extend another name, which may itself extend a third one. Without this bound,
        // a few bytes of input could expand to any number of characters.
        nameChars += name.length();
        if (nameChars > Layout.MAX_RAW_BYTES) {
            throw new IOException("names of over " + Layout.MAX_RAW_BYTES + " characters");
        }
        return name;
    }

    /**
     * Counts decoded records and list elements against their bound. Without it, a block that
     * inflates from a few bytes could fill the memory.
     */
    private void countObjects(int added) throws IOException {
        objects += added;
        if (added < 0 || objects > Layout.MAX_RECORDS) {
            throw new IOException("over " + Layout.MAX_RECORDS + " records");
        }
    }
}
