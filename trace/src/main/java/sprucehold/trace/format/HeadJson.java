package sprucehold.trace.format;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import sprucehold.port.Deployment;
import sprucehold.trace.event.Head;

/** The head as JSON: fields are the records' own; unknown ones are skipped. */
final class HeadJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();

    private HeadJson() {}

    static byte[] write(Head head) throws IOException {
        return MAPPER.writeValueAsBytes(head);
    }

    static Head read(byte[] json) throws IOException {
        Head head = MAPPER.readValue(json, Head.class);
        for (var source : head.sources()) {
            if (source == null
                    || source.gatherer() == null
                    || source.clock() == null
                    || !whole(source.facts())) {
                throw new IOException("a source without its facts");
            }
        }
        return head;
    }

    private static boolean whole(Deployment facts) {
        return facts != null
                && facts.tableTypes() != null
                && facts.customers() != null
                && facts.layout() != null
                && facts.limits() != null
                && facts.coldRule() != null
                && facts.dispatchBudget() != null
                && facts.listAccess() != null;
    }

    static String text(Object fact) throws IOException {
        return MAPPER.writeValueAsString(fact);
    }

    static <F> F read(String json, Class<F> kind) throws IOException {
        F fact = MAPPER.readValue(json, kind);
        if (fact == null) {
            throw new IOException("no " + kind.getSimpleName());
        }
        return fact;
    }

    static Deployment facts(String json) throws IOException {
        Deployment facts = read(json, Deployment.class);
        if (!whole(facts)) {
            throw new IOException("facts that aren't whole");
        }
        return facts;
    }
}
