package sprucehold.trace.format;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import sprucehold.decision.Deployment;
import sprucehold.storage.StoredJson;
import sprucehold.trace.event.TraceHeader;

/**
 * Converts the header to and from JSON. Fields have the names of the record components. Unknown
 * fields are ignored.
 */
final class TraceHeaderJson {
    private static final ObjectMapper MAPPER =
            StoredJson.mapperBuilder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                    .build();

    private TraceHeaderJson() {}

    static byte[] write(TraceHeader header) throws IOException {
        return MAPPER.writeValueAsBytes(header);
    }

    static TraceHeader read(byte[] json) throws IOException {
        TraceHeader header = MAPPER.readValue(json, TraceHeader.class);
        for (var source : header.sources()) {
            if (source == null
                    || source.gatherer() == null
                    || source.clock() == null
                    || !isComplete(source.deployment())) {
                throw new IOException(
                        "a source without its gatherer, its clock or a part of its deployment");
            }
        }
        return header;
    }

    private static boolean isComplete(Deployment deployment) {
        return deployment != null
                && deployment.queryClasses() != null
                && deployment.tenants() != null
                && deployment.layout() != null
                && deployment.limits() != null
                && deployment.slowStart() != null
                && deployment.retryBudget() != null
                && deployment.endpointSubscription() != null;
    }

    static String toJson(Object value) throws IOException {
        return MAPPER.writeValueAsString(value);
    }

    static <T> T read(String json, Class<T> type) throws IOException {
        T value = MAPPER.readValue(json, type);
        if (value == null) {
            throw new IOException("no " + type.getSimpleName());
        }
        return value;
    }

    static Deployment deployment(String json) throws IOException {
        Deployment deployment = read(json, Deployment.class);
        if (!isComplete(deployment)) {
            throw new IOException("a deployment that lacks a part");
        }
        return deployment;
    }
}
