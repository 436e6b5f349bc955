package sprucehold.standin;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import java.nio.charset.StandardCharsets;

/**
 * A stand-in for a shard server. It answers every attempt immediately. The value of its answer
 * consists of the shard and the body of the query.
 *
 * <table>
 * <caption>Frames by their first letter</caption>
 * <tr><th>from the gatherer</th><th>answer</th></tr>
 * <tr><td>A: attempts; for each a line (id of the part, shard, list of fields such as the timeout,
 *     length of the body) and the body of the query</td><td>E for each attempt, with its outcome
 *     and value</td></tr>
 * <tr><td>B: cancel an attempt</td><td>none</td></tr>
 * <tr><td>C: health check</td><td>C</td></tr>
 * <tr><td>D: health check that asks for a load report</td><td>D</td></tr>
 * <tr><td>any other</td><td>F: error; then the connection is closed</td></tr>
 * </table>
 */
final class StandInShardServer {
    /** Size of the length field before each frame, in bytes; the length is little-endian. */
    private static final int LENGTH_BYTES = 4;

    private final Vertx vertx;

    StandInShardServer(Vertx vertx) {
        this.vertx = vertx;
    }

    Future<NetServer> listen(SocketAddress address) {
        return vertx.createNetServer().connectHandler(this::serve).listen(address);
    }

    private void serve(NetSocket socket) {
        RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
        parser.handler(
                new Handler<>() {
                    private boolean inFrame;

                    @Override
                    public void handle(Buffer bytes) {
                        if (inFrame) {
                            answer(socket, bytes);
                        }
                        parser.fixedSizeMode(inFrame ? LENGTH_BYTES : bytes.getIntLE(0));
                        inFrame = !inFrame;
                    }
                });
        socket.handler(parser);
    }

    private static void answer(NetSocket socket, Buffer frame) {
        switch (frame.getByte(0)) {
            case 'A' -> answerAttempts(socket, frame);
            case 'B' -> {}
            case 'C' -> send(socket, "Chit");
            case 'D' -> send(socket, "D-");
            default -> {
                send(socket, "Funknown letter");
                socket.close();
            }
        }
    }

    private static void answerAttempts(NetSocket socket, Buffer frame) {
        int lineStart = 1;
        while (lineStart < frame.length()) {
            int lineEnd = lineStart;
            while (frame.getByte(lineEnd) != '\n') {
                lineEnd++;
            }
            String[] fields = frame.getString(lineStart, lineEnd).split(" ", -1);
            String partId = fields[0];
            String shard = fields[1];
            int bodyLength = Integer.parseInt(fields[3]);
            int bodyEnd = lineEnd + 1 + bodyLength;
            String body = frame.getString(lineEnd + 1, bodyEnd);
            send(socket, "E" + partId + " hit 0 -\n" + shard + ":" + body);
            lineStart = bodyEnd;
        }
    }

    private static void send(NetSocket socket, String frame) {
        byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
        socket.write(Buffer.buffer().appendIntLE(bytes.length).appendBytes(bytes));
    }
}
