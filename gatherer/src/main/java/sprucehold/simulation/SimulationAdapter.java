package sprucehold.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sprucehold.decision.Command;
import sprucehold.decision.DecisionPolicy;
import sprucehold.decision.Endpoint;
import sprucehold.decision.Event;

/**
 * Runs many instances of the decision policy in the simulation. Each input line contains a batch of
 * events of the instances, and each output line the resulting commands. {@link WireReader} and
 * {@link WireWriter} define the names of the wire format.
 */
public final class SimulationAdapter {
    private static final int BUFFER_BYTES = 1 << 16;

    private final DecisionPolicy.Factory factory;
    private final Map<Integer, Instance> instances = new HashMap<>();

    /** The last received endpoint lists, by their number; all instances share them. */
    private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();

    /** An instance of the policy, with the reader of its events and its events of this batch. */
    private static final class Instance {
        private final DecisionPolicy policy;
        private final WireReader reader;
        private final List<Event> events = new ArrayList<>();

        Instance(DecisionPolicy policy, WireReader reader) {
            this.policy = policy;
            this.reader = reader;
        }
    }

    /** Creates an adapter whose instances are started by a factory. */
    public SimulationAdapter(DecisionPolicy.Factory factory) {
        this.factory = factory;
    }

    /**
     * Answers batches until the input ends.
     *
     * @throws MalformedBatchException at the first line that isn't a valid batch
     */
    public void run(InputStream in, OutputStream out) throws IOException {
        var lines =
                new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_BYTES);
        var reply = new ByteArrayOutputStream(BUFFER_BYTES);
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            reply.reset();
            JsonNode batch = WireReader.batch(line);
            answer(WireReader.timeMs(batch), receive(batch), reply);
            reply.write('\n');
            reply.writeTo(out);
            out.flush();
        }
    }

    /**
     * Handles all messages of a batch; returns the instances to call, in the order of the batch.
     */
    private Map<Integer, Instance> receive(JsonNode batch) throws MalformedBatchException {
        Map<Integer, Instance> called = new LinkedHashMap<>();
        for (JsonNode part : WireReader.parts(batch)) {
            int number = WireReader.instance(part);
            for (JsonNode message : WireReader.messages(part)) {
                receive(number, WireReader.message(message));
            }
            if (instances.containsKey(number)) {
                called.put(number, instances.get(number));
            } else {
                called.remove(number);
            }
        }
        return called;
    }

    private void receive(int number, WireReader.Message message) throws MalformedBatchException {
        switch (message.kind()) {
            case START -> {
                var reader = new WireReader(message);
                DecisionPolicy policy =
                        factory.create(WireReader.seed(message), reader.deployment());
                instances.put(number, new Instance(policy, reader));
            }
            case CRASH -> instances.remove(number);
            case ENDPOINT_LIST ->
                    endpointLists.put(
                            WireReader.listNumber(message), WireReader.endpoints(message));
            case EVENT -> receiveEvent(number, message);
        }
    }

    private void receiveEvent(int number, WireReader.Message message)
            throws MalformedBatchException {
        Instance instance = instances.get(number);
        if (instance == null) {
            throw new MalformedBatchException(
                    message.wireName() + " for instance " + number + ", which isn't running");
        }
        Event event = instance.reader.event(message, endpointLists);
        if (event != null) {
            instance.events.add(event);
        }
    }

    private static void answer(double nowMs, Map<Integer, Instance> called, OutputStream out)
            throws IOException {
        try (var writer = new WireWriter(out)) {
            for (Map.Entry<Integer, Instance> entry : called.entrySet()) {
                decide(nowMs, entry.getKey(), entry.getValue(), writer);
            }
        }
    }

    private static void decide(double nowMs, int number, Instance instance, WireWriter writer)
            throws IOException {
        List<Command> commands;
        String panic = null;
        try {
            commands = instance.policy.decide(nowMs, List.copyOf(instance.events));
        } catch (RuntimeException | StackOverflowError e) {
            // An exception of one instance is reported as its panic; the other instances continue.
            commands = List.of();
            panic = describe(e);
        }
        instance.events.clear();
        if (!commands.isEmpty() || panic != null) {
            writer.write(number, commands, panic);
        }
    }

    /** Returns the exception's text and the place where it was thrown. */
    private static String describe(Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length > 0 ? " at " + trace[0] : "");
    }
}
