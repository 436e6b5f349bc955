package sprucehold.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
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
 * Runs many gatherers on the bench's wire: a line in holds a batch of events, a line out the
 * actions.
 */
public final class SimulationAdapter {
    private final DecisionPolicy.Factory factory;
    private final ObjectMapper mapper = new ObjectMapper();
    private final ObjectReader reader =
            mapper.reader()
                    .with(
                            com.fasterxml.jackson.databind.DeserializationFeature
                                    .FAIL_ON_TRAILING_TOKENS);
    private final Map<Integer, Instance> instances = new HashMap<>();

    /** The numbered lists last received; they serve all instances. */
    private final Map<Integer, List<Endpoint>> endpointLists = new HashMap<>();

    /** One instance: the gatherer, how its wire is read, and what has come for it in this batch. */
    private static final class Instance {
        final DecisionPolicy policy;
        final WireReader wire;
        final List<Event> events = new ArrayList<>();

        Instance(DecisionPolicy policy, WireReader wire) {
            this.policy = policy;
            this.wire = wire;
        }
    }

    public SimulationAdapter(DecisionPolicy.Factory factory) {
        this.factory = factory;
    }

    /** Answers batches until the input ends. */
    public void run(InputStream in, OutputStream out) throws IOException {
        var lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        var reply = new ByteArrayOutputStream(1 << 16);
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            reply.reset();
            answer(line, reply);
            reply.write('\n');
            reply.writeTo(out);
            out.flush();
        }
    }

    private void answer(String line, OutputStream reply) throws IOException {
        JsonNode batch;
        try {
            batch = reader.readTree(line);
        } catch (JsonProcessingException e) {
            throw new MalformedBatchException("input is not JSON: " + e.getOriginalMessage());
        }
        if (batch == null || !batch.path("tsMs").isNumber() || !batch.path("parts").isArray()) {
            throw new MalformedBatchException("a batch needs tsMs and parts");
        }
        Map<Integer, Instance> called = new LinkedHashMap<>();
        for (JsonNode part : batch.get("parts")) {
            if (!part.path("who").isInt() || !part.path("msgs").isArray()) {
                throw new MalformedBatchException("a part of a batch needs who and msgs");
            }
            int who = part.get("who").intValue();
            for (JsonNode message : part.get("msgs")) {
                if (!message.isObject() || message.size() != 1) {
                    throw new MalformedBatchException("a message needs exactly one name");
                }
                Map.Entry<String, JsonNode> named = message.properties().iterator().next();
                receive(who, named.getKey(), named.getValue());
            }
            if (instances.containsKey(who)) {
                called.put(who, instances.get(who));
            } else {
                called.remove(who);
            }
        }
        double now = batch.get("tsMs").doubleValue();
        try (JsonGenerator json = mapper.createGenerator(reply)) {
            json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            json.writeStartObject();
            json.writeArrayFieldStart("parts");
            for (Map.Entry<Integer, Instance> entry : called.entrySet()) {
                List<Command> actions;
                String panic = null;
                try {
                    actions =
                            entry.getValue()
                                    .policy
                                    .decide(now, List.copyOf(entry.getValue().events));
                } catch (RuntimeException | StackOverflowError e) {
                    actions = List.of();
                    panic = describe(e);
                }
                entry.getValue().events.clear();
                if (!actions.isEmpty() || panic != null) {
                    WireWriter.write(json, entry.getKey(), actions, panic);
                }
            }
            json.writeEndArray();
            json.writeEndObject();
        }
    }

    private void receive(int who, String name, JsonNode fields) throws MalformedBatchException {
        switch (name) {
            case "PowerOn" -> {
                var wire = new WireReader(fields.path("params"));
                instances.put(
                        who,
                        new Instance(
                                factory.start(
                                        fields.path("rngSeed").longValue(), wire.deployment()),
                                wire));
            }
            case "CrashNow" -> instances.remove(who);
            case "Table" ->
                    endpointLists.put(
                            fields.path("slot").intValue(),
                            WireReader.endpoints(fields.path("hosts")));
            default -> {
                Instance seat = instances.get(who);
                if (seat == null) {
                    throw new MalformedBatchException(
                            name + " for instance " + who + ", which isn't running");
                }
                Event event = seat.wire.event(name, fields, endpointLists);
                if (event != null) {
                    seat.events.add(event);
                }
            }
        }
    }

    private static String describe(Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        return e + (trace.length > 0 ? " at " + trace[0] : "");
    }
}
