package sprucehold.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import sprucehold.decision.Command;

/** Writes one instance's actions. */
final class WireWriter {
    private WireWriter() {}

    /** {@code panic} is the text of a failure of the decisions, or null. */
    static void write(JsonGenerator json, int who, List<Command> actions, String panic)
            throws IOException {
        json.writeStartObject();
        json.writeNumberField("who", who);
        json.writeArrayFieldStart("outbox");
        for (Command command : actions) {
            write(json, command);
        }
        if (panic != null) {
            open(json, "Panic");
            json.writeStringField("line", panic);
            close(json);
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void write(JsonGenerator json, Command command) throws IOException {
        if (command instanceof Command.SendAttempt sendAttempt) {
            open(json, "Attempt");
            json.writeStringField("id", sendAttempt.partId());
            json.writeStringField("server", sendAttempt.server());
            json.writeNumberField("timeoutMs", sendAttempt.timeoutMs());
        } else if (command instanceof Command.CancelAttempt cancel) {
            open(json, "UndoSend");
            json.writeStringField("id", cancel.partId());
            json.writeNumberField("sendNo", cancel.attemptNumber());
        } else if (command instanceof Command.AnswerQuery answer) {
            open(json, "Assemble");
            json.writeStringField("id", answer.queryId());
            json.writeBooleanField("complete", answer.complete());
        } else if (command instanceof Command.RejectQuery rejection) {
            open(json, "Busy");
            json.writeStringField("id", rejection.queryId());
            json.writeNumberField("comeBackMs", rejection.retryAfterMs());
        } else if (command instanceof Command.FailQuery failure) {
            open(json, "GiveUp");
            json.writeStringField("id", failure.queryId());
        } else if (command instanceof Command.ScheduleWakeUp wakeUp) {
            open(json, "Timer");
            json.writeNumberField("offsetMs", wakeUp.delayMs());
            json.writeStringField("ref", "wake");
        } else if (command instanceof Command.CheckHealth probe) {
            open(json, "Ping");
            json.writeStringField("server", probe.server());
        } else if (command instanceof Command.SubscribeToEndpoints) {
            open(json, "KeepInformed");
            json.writeBooleanField("complete", true);
        } else if (command instanceof Command.LogMessage note) {
            open(json, "Record");
            json.writeStringField("line", note.text());
        } else {
            throw new IllegalArgumentException("no wire form for " + command);
        }
        close(json);
    }

    private static void open(JsonGenerator json, String name) throws IOException {
        json.writeStartObject();
        json.writeObjectFieldStart(name);
    }

    private static void close(JsonGenerator json) throws IOException {
        json.writeEndObject();
        json.writeEndObject();
    }
}
