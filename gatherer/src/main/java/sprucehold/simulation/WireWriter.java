package sprucehold.simulation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import sprucehold.decision.Command;

/**
 * Writes the answer to one batch. Its {@code parts} contain, for each instance with commands, the
 * instance's number {@code who} and its messages {@code outbox}. A message is an object with one
 * field, whose name is the message's name and whose value contains the message's fields.
 *
 * <table>
 * <caption>Names in the wire format</caption>
 * <tr><th>type and fields in the source</th><th>wire</th></tr>
 * <tr><td>{@link Command.SendAttempt}: partId, server, timeoutMs</td>
 *     <td>{@code Attempt}: {@code id}, {@code server}, {@code timeoutMs}</td></tr>
 * <tr><td>{@link Command.CancelAttempt}: partId, attemptNumber</td>
 *     <td>{@code UndoSend}: {@code id}, {@code sendNo}</td></tr>
 * <tr><td>{@link Command.AnswerQuery}: queryId, complete</td>
 *     <td>{@code Assemble}: {@code id}, {@code complete}</td></tr>
 * <tr><td>{@link Command.RejectQuery}: queryId, retryAfterMs</td>
 *     <td>{@code Busy}: {@code id}, {@code comeBackMs}</td></tr>
 * <tr><td>{@link Command.FailQuery}: queryId</td><td>{@code GiveUp}: {@code id}</td></tr>
 * <tr><td>{@link Command.ScheduleWakeUp}: delayMs</td>
 *     <td>{@code Timer}: {@code offsetMs}, {@code ref} always {@code wake}</td></tr>
 * <tr><td>{@link Command.CheckHealth}: server</td><td>{@code Ping}: {@code server}</td></tr>
 * <tr><td>{@link Command.SubscribeToEndpoints}</td>
 *     <td>{@code KeepInformed}: {@code complete} always true</td></tr>
 * <tr><td>{@link Command.LogMessage}: text</td><td>{@code Record}: {@code line}</td></tr>
 * <tr><td>an exception of the decision policy</td><td>{@code Panic}: {@code line}</td></tr>
 * </table>
 */
final class WireWriter implements AutoCloseable {
    private static final JsonFactory JSON = new JsonFactory();

    private final JsonGenerator json;

    /** Begins an answer; {@code out} is left open. */
    WireWriter(OutputStream out) throws IOException {
        json = JSON.createGenerator(out);
        json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        json.writeStartObject();
        json.writeArrayFieldStart("parts");
    }

    /** Ends the answer. */
    @Override
    public void close() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.close();
    }

    /**
     * Writes the commands of one instance.
     *
     * @param instance the number of the instance
     * @param panic the text of an exception of its decision policy, or null
     */
    void write(int instance, List<Command> commands, String panic) throws IOException {
        json.writeStartObject();
        json.writeNumberField("who", instance);
        json.writeArrayFieldStart("outbox");
        for (Command command : commands) {
            write(command);
        }
        if (panic != null) {
            begin("Panic");
            json.writeStringField("line", panic);
            end();
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private void write(Command command) throws IOException {
        if (command instanceof Command.SendAttempt send) {
            begin("Attempt");
            json.writeStringField("id", send.partId());
            json.writeStringField("server", send.server());
            json.writeNumberField("timeoutMs", send.timeoutMs());
        } else if (command instanceof Command.CancelAttempt cancel) {
            begin("UndoSend");
            json.writeStringField("id", cancel.partId());
            json.writeNumberField("sendNo", cancel.attemptNumber());
        } else if (command instanceof Command.AnswerQuery answer) {
            begin("Assemble");
            json.writeStringField("id", answer.queryId());
            json.writeBooleanField("complete", answer.complete());
        } else if (command instanceof Command.RejectQuery reject) {
            begin("Busy");
            json.writeStringField("id", reject.queryId());
            json.writeNumberField("comeBackMs", reject.retryAfterMs());
        } else if (command instanceof Command.FailQuery fail) {
            begin("GiveUp");
            json.writeStringField("id", fail.queryId());
        } else if (command instanceof Command.ScheduleWakeUp wakeUp) {
            begin("Timer");
            json.writeNumberField("offsetMs", wakeUp.delayMs());
            json.writeStringField("ref", "wake");
        } else if (command instanceof Command.CheckHealth check) {
            begin("Ping");
            json.writeStringField("server", check.server());
        } else if (command instanceof Command.SubscribeToEndpoints) {
            begin("KeepInformed");
            json.writeBooleanField("complete", true);
        } else if (command instanceof Command.LogMessage message) {
            begin("Record");
            json.writeStringField("line", message.text());
        } else {
            // Shared limits exist only for gatherers that serve on sockets, not in the simulation.
            throw new IllegalArgumentException("no wire form for " + command);
        }
        end();
    }

    private void begin(String message) throws IOException {
        json.writeStartObject();
        json.writeObjectFieldStart(message);
    }

    private void end() throws IOException {
        json.writeEndObject();
        json.writeEndObject();
    }
}
