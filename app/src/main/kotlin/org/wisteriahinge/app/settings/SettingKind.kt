package org.wisteriahinge.app.settings

import java.net.URI
import java.net.URISyntaxException

/** The format of a setting's value. Error messages show [expected] after the word "expected". */
internal sealed class SettingKind(val expected: String) {
    /** Any text without blanks. */
    data object Word : SettingKind("a word of 1 to 100 characters without blanks")

    /** A host name or an IP address. */
    data object Host : SettingKind("a host name or an IP address")

    /** A host with a port. */
    data object Address : SettingKind("an address such as 10.0.0.1:8080")

    /** Hosts with ports, separated by commas. */
    data object Addresses : SettingKind("addresses such as 10.0.0.1:8080,10.0.0.2:8080")

    /** A number of [unit] from [min] to [max]. */
    data class Decimal(val unit: String, val min: Double, val max: Double) :
        SettingKind("a number of $unit from $min to $max")

    /** The base URL of a service. */
    data object Url : SettingKind("a URL such as http://10.0.0.1:9000, without a final slash")

    /** A TCP port; 0 takes any free one. */
    data object Port : SettingKind("a port number from 0 to $MAX_PORT")

    /** A whole number of [unit] from [min] to [max]. */
    data class Whole(val unit: String, val min: Long, val max: Long) :
        SettingKind("a whole number of $unit from $min to $max")

    /** A key that is never printed. */
    data object Secret : SettingKind("at least $MIN_SECRET_LENGTH characters")

    /** Whether [text] has this format. */
    fun accepts(text: String): Boolean = when (this) {
        Word -> text.length in 1..MAX_WORD_LENGTH && text.none { it.isWhitespace() }
        Host -> HOST.matches(text)
        Address -> ADDRESS.matches(text)
        Addresses -> text.split(',').all { ADDRESS.matches(it) }
        is Decimal -> text.toDoubleOrNull()?.let { it in min..max } == true
        Url -> isServiceUrl(text)
        Port -> text.toIntOrNull()?.let { it in 0..MAX_PORT } == true
        is Whole -> text.toLongOrNull()?.let { it in min..max } == true
        Secret -> text.length >= MIN_SECRET_LENGTH
    }

    private companion object {
        const val MAX_WORD_LENGTH = 100
        const val MAX_PORT = 65_535

        /** Shorter keys could be found by trying keys against a known hash. */
        const val MIN_SECRET_LENGTH = 16
        val HOST = Regex("[A-Za-z0-9._:-]{1,253}")
        val ADDRESS = Regex("[A-Za-z0-9._-]{1,253}:[0-9]{1,5}")
    }
}

private fun isServiceUrl(text: String): Boolean = try {
    val uri = URI(text)
    uri.scheme in setOf("http", "https") && uri.host != null && !text.endsWith('/')
} catch (_: URISyntaxException) {
    false
}
