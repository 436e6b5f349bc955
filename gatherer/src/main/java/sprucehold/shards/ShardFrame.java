package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import sprucehold.coordinator.AttemptResult;
import sprucehold.coordinator.Payload;
import sprucehold.decision.LoadReport;

/**
 * The frames that a shard server sends. A frame is the length of what follows (4 bytes, little
 * endian), a letter and the rest:
 *
 * <table>
 *   <caption>Frames of shard servers</caption>
 *   <tr><th>letter</th><th>our term</th><th>rest</th></tr>
 *   <tr><td>{@code E}</td><td>{@link PartEnded}</td>
 *       <td>a line {@code PART END WORK LOAD}, then the value; WORK is a number that isn't
 *       used</td></tr>
 *   <tr><td>{@code C}, {@code D}</td><td>{@link HealthCheckAnswered}</td>
 *       <td>{@code hit}, {@code fault}, or LOAD</td></tr>
 *   <tr><td>{@code F}</td><td>{@link FrameRefused}</td><td>words</td></tr>
 * </table>
 *
 * <table>
 *   <caption>END and LOAD</caption>
 *   <tr><th>there</th><th>our term</th></tr>
 *   <tr><td>{@code hit}</td><td>{@link AttemptResult.Completed}</td></tr>
 *   <tr><td>{@code fault}</td><td>{@link AttemptResult.Failed}</td></tr>
 *   <tr><td>{@code overload}</td><td>{@link AttemptResult.Rejected}</td></tr>
 *   <tr><td>LOAD, such as {@code inflight=7,util=0.61}, or {@code -}</td>
 *       <td>{@link LoadReport}: {@code inflight} is {@code held}, {@code queue} is {@code queued},
 *       {@code util} is {@code busy}; null where none of them can be read</td></tr>
 * </table>
 */
sealed interface ShardFrame {
    /**
     * A part ended at the shard server.
     *
     * @param partId the part
     * @param result how it ended
     */
    record PartEnded(String partId, AttemptResult result) implements ShardFrame {}

    /**
     * The answer to a health check.
     *
     * @param passed whether the server says that it is well
     * @param load what it told of its load, or null
     */
    record HealthCheckAnswered(boolean passed, LoadReport load) implements ShardFrame {}

    /**
     * The shard server could not use a frame of ours, and closes the connection.
     *
     * @param reason what it said
     */
    record FrameRefused(String reason) implements ShardFrame {}

    /** The frame can't be read. */
    final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /**
     * Reads a frame, its length not included.
     *
     * @throws MalformedException if it has not the form of a frame
     */
    static ShardFrame decode(Buffer frame) throws MalformedException {
        char letter = (char) frame.getByte(0);
        return switch (letter) {
            case 'E' -> partEnded(frame);
            case 'C', 'D' -> healthCheckAnswered(text(frame));
            case 'F' -> new FrameRefused(text(frame));
            default -> throw new MalformedException("unknown letter " + (int) letter);
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
            throw new MalformedException("a part's end without its line");
        }
        String[] fields = frame.getString(1, lineEnd).split(" ", -1);
        if (fields.length != 4 || fields[0].isEmpty() || !fields[2].matches("-?[0-9.]{1,40}")) {
            throw new MalformedException("a part's line that isn't one");
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
                    default -> throw new MalformedException("a part's unknown end");
                };
        return new PartEnded(fields[0], result);
    }

    /**
     * The value, checked whatever the end is: a value is text, and no text holds a zero byte, while
     * a frame whose length is too large holds those of the next one's length.
     */
    private static Payload value(Buffer frame, int from) throws MalformedException {
        byte[] bytes = frame.getBytes(from, frame.length());
        if (!isTextWithoutZero(bytes)) {
            throw new MalformedException("a value that isn't text");
        }
        return Payload.owning(bytes);
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
        boolean nothing = Double.isNaN(held) && Double.isNaN(queued) && Double.isNaN(busy);
        return nothing ? null : new LoadReport(held, queued, busy);
    }

    /** A finite number from 0, or NaN. */
    private static double loadValue(String text) {
        try {
            double value = Double.parseDouble(text);
            return value >= 0 && value < Double.POSITIVE_INFINITY ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
