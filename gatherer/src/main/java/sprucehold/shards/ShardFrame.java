package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Payload;
import sprucehold.decision.LoadReport;

/**
 * Frames that a shard server sends. A frame consists of the length of the remaining bytes (4 bytes,
 * little endian), a letter for its type, and its content:
 *
 * <table>
 *   <caption>Frames of shard servers</caption>
 *   <tr><th>letter</th><th>term in the code</th><th>content</th></tr>
 *   <tr><td>{@code E}</td><td>{@link PartEnded}</td>
 *       <td>a line {@code PART END WORK LOAD}, then the value; WORK is a number that the
 *       gatherer ignores</td></tr>
 *   <tr><td>{@code C}, {@code D}</td><td>{@link HealthCheckAnswered}</td>
 *       <td>{@code hit}, {@code fault}, or LOAD</td></tr>
 *   <tr><td>{@code F}</td><td>{@link FrameRefused}</td><td>the reason as text</td></tr>
 * </table>
 *
 * <table>
 *   <caption>END and LOAD</caption>
 *   <tr><th>in the frame</th><th>term in the code</th></tr>
 *   <tr><td>{@code hit}</td><td>{@link AttemptResult.Completed}</td></tr>
 *   <tr><td>{@code fault}</td><td>{@link AttemptResult.Failed}</td></tr>
 *   <tr><td>{@code overload}</td><td>{@link AttemptResult.Rejected}</td></tr>
 *   <tr><td>LOAD, such as {@code inflight=7,util=0.61}, or {@code -}</td>
 *       <td>{@link LoadReport}: {@code inflight} is {@code held}, {@code queue} is {@code queued},
 *       {@code util} is {@code busy}; null if none of them can be parsed</td></tr>
 * </table>
 */
sealed interface ShardFrame {
    /**
     * Result of an attempt at the shard server.
     *
     * @param partId id of the part
     * @param result result of the attempt
     */
    record PartEnded(String partId, AttemptResult result) implements ShardFrame {}

    /**
     * Answer to a health check.
     *
     * @param passed whether the shard server reports that it is healthy
     * @param load reported load, or null
     */
    record HealthCheckAnswered(boolean passed, LoadReport load) implements ShardFrame {}

    /**
     * Report of the shard server that it could not process a frame of the gatherer and closes the
     * connection.
     *
     * @param reason reason given by the shard server
     */
    record FrameRefused(String reason) implements ShardFrame {}

    /** Thrown if a frame can't be parsed. */
    final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /** Returns whether frames of shard servers begin with this letter. */
    static boolean isLetter(byte letter) {
        return letter == 'C' || letter == 'D' || letter == 'E' || letter == 'F';
    }

    /**
     * Parses a frame without its length field.
     *
     * @throws MalformedException if the bytes are not a valid frame
     */
    static ShardFrame decode(Buffer frame) throws MalformedException {
        char letter = (char) frame.getByte(0);
        return switch (letter) {
            case 'E' -> partEnded(frame);
            case 'C', 'D' -> healthCheckAnswered(text(frame));
            case 'F' -> new FrameRefused(text(frame));
            default -> throw new MalformedException("unknown frame type " + (int) letter);
        };
    }

    private static String text(Buffer frame) {
        return frame.getString(1, frame.length()).strip();
    }

    private static PartEnded partEnded(Buffer frame) throws MalformedException {
        int lineEnd = 1;
        while (lineEnd < frame.length() && frame.getByte(lineEnd) != '\n') {
            lineEnd++;
        }
        if (lineEnd == frame.length()) {
            throw new MalformedException("result of a part without a terminated line");
        }
        String[] fields = frame.getString(1, lineEnd).split(" ", -1);
        if (fields.length != 4 || fields[0].isEmpty() || !fields[2].matches("-?[0-9.]{1,40}")) {
            throw new MalformedException("malformed line in the result of a part");
        }
        LoadReport load = load(fields[3]);
        AttemptResult result =
                switch (fields[1]) {
                    case "hit" -> new AttemptResult.Completed(value(frame, lineEnd + 1), load);
                    case "fault" -> {
                        value(frame, lineEnd + 1);
                        yield new AttemptResult.Failed(load);
                    }
                    case "overload" -> {
                        value(frame, lineEnd + 1);
                        yield new AttemptResult.Rejected(load);
                    }
                    default ->
                            throw new MalformedException("unknown outcome in the result of a part");
                };
        return new PartEnded(fields[0], result);
    }

    /**
     * Extracts the value, and checks it whatever the result of the attempt is. A value is text and
     * has no zero bytes. A frame whose length field is too large also contains the length field of
     * the next frame, which has zero bytes, and so is rejected.
     */
    private static Payload value(Buffer frame, int from) throws MalformedException {
        byte[] bytes = frame.getBytes(from, frame.length());
        if (!isTextWithoutZero(bytes)) {
            throw new MalformedException("value is not UTF-8 text without zero bytes");
        }
        return Payload.wrap(bytes);
    }

    private static boolean isTextWithoutZero(byte[] bytes) {
        try {
            return StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(bytes))
                            .toString()
                            .indexOf(0)
                    < 0;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    private static HealthCheckAnswered healthCheckAnswered(String text) {
        LoadReport load = text.equals("hit") ? null : load(text);
        return new HealthCheckAnswered(!text.equals("fault"), load);
    }

    private static LoadReport load(String report) {
        double held = Double.NaN;
        double queued = Double.NaN;
        double busy = Double.NaN;
        for (String field : report.split(",", -1)) {
            int equals = field.indexOf('=');
            if (equals < 0) {
                continue;
            }
            double value = loadValue(field.substring(equals + 1));
            if (Double.isNaN(value)) {
                continue;
            }
            switch (field.substring(0, equals)) {
                case "inflight" -> held = value;
                case "queue" -> queued = value;
                case "util" -> busy = value;
                default -> {}
            }
        }
        boolean noneReported = Double.isNaN(held) && Double.isNaN(queued) && Double.isNaN(busy);
        return noneReported ? null : new LoadReport(held, queued, busy);
    }

    /** Parses a finite number that is at least 0; returns NaN for any other text. */
    private static double loadValue(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
