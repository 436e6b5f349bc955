package sprucehold.drill;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import sprucehold.port.Action;

/** Writes one instance's actions. */
final class WireWriter {
    private WireWriter() {}

    /** {@code panic} is the text of a failure of the decisions, or null. */
    static void write(JsonGenerator json, int who, List<Action> actions, String panic)
            throws IOException {
        json.writeStartObject();
        json.writeNumberField("who", who);
        json.writeArrayFieldStart("outbox");
        for (Action action : actions) {
            write(json, action);
        }
        if (panic != null) {
            open(json, "Panic");
            json.writeStringField("line", panic);
            close(json);
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private static void write(JsonGenerator json, Action action) throws IOException {
        if (action instanceof Action.Dispatch dispatch) {
            open(json, "Attempt");
            json.writeStringField("id", dispatch.partId());
            json.writeStringField("server", dispatch.server());
            json.writeNumberField("timeoutMs", dispatch.timeoutMs());
        } else if (action instanceof Action.Cancel cancel) {
            open(json, "UndoSend");
            json.writeStringField("id", cancel.partId());
            json.writeNumberField("sendNo", cancel.number());
        } else if (action instanceof Action.Answer answer) {
            open(json, "Assemble");
            json.writeStringField("id", answer.scanId());
            json.writeBooleanField("complete", answer.whole());
        } else if (action instanceof Action.Throttle throttle) {
            open(json, "Busy");
            json.writeStringField("id", throttle.scanId());
            json.writeNumberField("comeBackMs", throttle.comeBackMs());
        } else if (action instanceof Action.Abandon abandon) {
            open(json, "GiveUp");
            json.writeStringField("id", abandon.scanId());
        } else if (action instanceof Action.Wake wake) {
            open(json, "Timer");
            json.writeNumberField("offsetMs", wake.delayMs());
            json.writeStringField("ref", "wake");
        } else if (action instanceof Action.Probe probe) {
            open(json, "Ping");
            json.writeStringField("server", probe.server());
        } else if (action instanceof Action.FollowList) {
            open(json, "KeepInformed");
            json.writeBooleanField("complete", true);
        } else if (action instanceof Action.Note note) {
            open(json, "Record");
            json.writeStringField("line", note.line());
        } else {
            throw new IllegalArgumentException("no wire form for " + action);
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
