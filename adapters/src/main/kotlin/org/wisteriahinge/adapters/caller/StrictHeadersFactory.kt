package org.wisteriahinge.adapters.caller

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Headers that keep a Content-Length beside a Transfer-Encoding from being dropped.
 *
 * Netty's decoder removes the length from a request that carries both; such a request is how
 * request smuggling starts, so removing it makes the request invalid instead.
 */
internal object StrictHeadersFactory : HttpHeadersFactory {
    private val defaultFactory = DefaultHttpHeadersFactory.headersFactory()

    override fun newHeaders(): HttpHeaders = StrictHeaders()

    override fun newEmptyHeaders(): HttpHeaders = defaultFactory.newEmptyHeaders()

    private class StrictHeaders : DefaultHttpHeaders() {
        override fun remove(name: CharSequence): HttpHeaders {
            require(!HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
                "both Transfer-Encoding and Content-Length"
            }
            return super.remove(name)
        }
    }
}
