package sprucehold.trace.format;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import sprucehold.decision.Deployment;
import sprucehold.storage.StoredJson;
import sprucehold.trace.event.Head;

/** The head as JSON: fields are the records' own; unknown ones are skipped. */
final class HeadJson {
    private static final ObjectMapper MAPPER =
            StoredJson.mapperBuilder()
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

    private static boolean whole(Deployment deployment) {
        return deployment != null
                && deployment.queryClasses() != null
                && deployment.tenants() != null
                && deployment.layout() != null
                && deployment.limits() != null
                && deployment.slowStart() != null
                && deployment.retryBudget() != null
                && deployment.endpointSubscription() != null;
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
        Deployment deployment = read(json, Deployment.class);
        if (!whole(deployment)) {
            throw new IOException("facts that aren't whole");
        }
        return deployment;
    }
}
