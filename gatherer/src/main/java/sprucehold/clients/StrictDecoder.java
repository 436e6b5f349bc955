package sprucehold.clients;

import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Reads requests as Vert.x does, but none whose end two headers tell differently: the one who reads
 * it by the other header would find a second request in its body.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    StrictDecoder(HttpServerOptions options) {
        super(options);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }
}
