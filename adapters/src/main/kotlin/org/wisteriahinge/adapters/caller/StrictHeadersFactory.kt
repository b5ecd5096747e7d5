package org.wisteriahinge.adapters.caller

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Creates headers that reject a message with both Content-Length and Transfer-Encoding.
 *
 * Netty's decoder would remove the Content-Length and accept the message. Such messages are used
 * for request smuggling, so the removal throws, which makes the message invalid.
 */
internal object StrictHeadersFactory : HttpHeadersFactory {
    private val defaultFactory = DefaultHttpHeadersFactory.headersFactory()

    override fun newHeaders(): HttpHeaders = StrictHeaders()

    override fun newEmptyHeaders(): HttpHeaders = defaultFactory.newEmptyHeaders()

    private class StrictHeaders : DefaultHttpHeaders() {
        override fun remove(name: CharSequence): HttpHeaders {
            require(!HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
                "message has both Transfer-Encoding and Content-Length"
            }
            return super.remove(name)
        }
    }
}
