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
 * Stands in for a shard server: every part is a hit at once, and its value names the segment and
 * the text.
 */
final class StandInShardServer {
    private final Vertx vertx;

    StandInShardServer(Vertx vertx) {
        this.vertx = vertx;
    }

    Future<NetServer> listen(SocketAddress at) {
        return vertx.createNetServer().connectHandler(this::serve).listen(at);
    }

    private void serve(NetSocket socket) {
        RecordParser parser = RecordParser.newFixed(4);
        parser.handler(
                new Handler<>() {
                    private boolean inFrame;

                    @Override
                    public void handle(Buffer bytes) {
                        if (inFrame) {
                            answer(socket, bytes);
                        }
                        parser.fixedSizeMode(inFrame ? 4 : bytes.getIntLE(0));
                        inFrame = !inFrame;
                    }
                });
        socket.handler(parser);
    }

    private static void answer(NetSocket socket, Buffer frame) {
        switch (frame.getByte(0)) {
            case 'A' -> hit(socket, frame);
            case 'B' -> {}
            case 'C' -> send(socket, "Chit");
            case 'D' -> send(socket, "D-");
            default -> {
                send(socket, "Funknown letter");
                socket.close();
            }
        }
    }

    private static void hit(NetSocket socket, Buffer frame) {
        int at = 1;
        while (at < frame.length()) {
            int lineEnd = at;
            while (frame.getByte(lineEnd) != '\n') {
                lineEnd++;
            }
            String[] line = frame.getString(at, lineEnd).split(" ");
            int textEnd = lineEnd + 1 + Integer.parseInt(line[3]);
            send(
                    socket,
                    "E"
                            + line[0]
                            + " hit 0 -\n"
                            + line[1]
                            + ":"
                            + frame.getString(lineEnd + 1, textEnd));
            at = textEnd;
        }
    }

    private static void send(NetSocket socket, String frame) {
        byte[] bytes = frame.getBytes(StandardCharsets.UTF_8);
        socket.write(Buffer.buffer().appendIntLE(bytes.length).appendBytes(bytes));
    }
}
