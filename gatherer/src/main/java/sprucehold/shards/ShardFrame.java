package sprucehold.shards;

import io.vertx.core.buffer.Buffer;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import sprucehold.coordinator.Payload;
import sprucehold.decision.LoadReport;

/** What a shard server sends. */
sealed interface ShardFrame {
    /** The end of a part. */
    record Ended(String partId, End end, LoadReport load, Payload value) implements ShardFrame {}

    /** The answer to a probe; {@code load} is null where none came along. */
    record Probed(boolean sound, LoadReport load) implements ShardFrame {}

    /** A frame of ours could not be used, and the connection is closed. */
    record Unusable(String words) implements ShardFrame {}

    /** How a part ended, by its word on the wire. */
    enum End {
        HIT,
        FAULT,
        OVERLOAD
    }

    /** The frame can't be read. */
    final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    /** Reads a frame, its length not included. */
    static ShardFrame decode(Buffer frame) throws MalformedException {
        char letter = (char) frame.getByte(0);
        return switch (letter) {
            case 'E' -> ended(frame);
            case 'C' -> probed(frame.getString(1, frame.length()).strip());
            case 'D' -> probed(frame.getString(1, frame.length()).strip());
            case 'F' -> new Unusable(frame.getString(1, frame.length()).strip());
            default -> throw new MalformedException("unknown letter " + (int) letter);
        };
    }

    private static Ended ended(Buffer frame) throws MalformedException {
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
        End end =
                switch (fields[1]) {
                    case "hit" -> End.HIT;
                    case "fault" -> End.FAULT;
                    case "overload" -> End.OVERLOAD;
                    default -> throw new MalformedException("a part's unknown end");
                };
        return new Ended(
                fields[0],
                end,
                load(fields[3]),
                value(frame.getBytes(lineEnd + 1, frame.length())));
    }

    /**
     * A value is text, and no text holds a zero byte; a frame whose length is too large holds those
     * of the next one's length.
     */
    private static Payload value(byte[] bytes) throws MalformedException {
        try {
            if (StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(bytes))
                            .toString()
                            .indexOf(0)
                    < 0) {
                return Payload.owning(bytes);
            }
        } catch (CharacterCodingException e) {
            // As below.
        }
        throw new MalformedException("a value that isn't text");
    }

    private static Probed probed(String text) {
        return new Probed(!text.equals("fault"), text.equals("hit") ? null : load(text));
    }

    /** A report such as {@code inflight=7,util=0.61}; what can't be read isn't known. */
    private static LoadReport load(String report) {
        double held = Double.NaN;
        double queued = Double.NaN;
        double busy = Double.NaN;
        for (String field : report.split(",")) {
            int equals = field.indexOf('=');
            if (equals < 0) {
                continue;
            }
            double value;
            try {
                value = Double.parseDouble(field.substring(equals + 1));
            } catch (NumberFormatException e) {
                continue;
            }
            if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
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
}
