package sprucehold.clients;

import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * HTTP decoder of Vert.x that also rejects a request with both Transfer-Encoding and
 * Content-Length. An intermediary that used the other header would find a second request in its
 * body (request smuggling).
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    StrictDecoder(HttpServerOptions options) {
        super(options);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Transfer-Encoding and Content-Length");
    }
}
