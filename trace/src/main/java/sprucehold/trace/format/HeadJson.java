package sprucehold.trace.format;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import sprucehold.trace.event.Head;

/** The head as JSON: fields are the records' own; unknown ones are skipped. */
final class HeadJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES).build();

    private HeadJson() {
    }

    static byte[] write(Head head) throws IOException {
        return MAPPER.writeValueAsBytes(head);
    }

    static Head read(byte[] json) throws IOException {
        Head head = MAPPER.readValue(json, Head.class);
        for (var source : head.sources()) {
            if (source == null || source.gatherer() == null || source.facts() == null || source.clock() == null
                    || source.facts().tableTypes() == null || source.facts().customers() == null
                    || source.facts().layout() == null || source.facts().limits() == null
                    || source.facts().coldRule() == null || source.facts().dispatchBudget() == null
                    || source.facts().listAccess() == null) {
                throw new IOException("a source without its facts");
            }
        }
        return head;
    }
}
