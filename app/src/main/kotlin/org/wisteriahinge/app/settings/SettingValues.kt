package org.wisteriahinge.app.settings

import java.io.File
import java.io.IOException
import java.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList

private const val MILLIS_PER_SECOND = 1_000

/** Where the value of a setting comes from. */
internal sealed interface SettingSource {
    val text: String

    data class Flag(val flag: String) : SettingSource {
        override val text get() = "flag $flag"
    }

    data class Variable(val name: String) : SettingSource {
        override val text get() = "environment variable $name"
    }

    data class FileContent(val path: String) : SettingSource {
        override val text get() = "file $path"
    }

    data object Default : SettingSource {
        override val text get() = "default"
    }
}

/** The value in use and its source. */
internal data class SettingValue(
    val spec: SettingSpec,
    val text: String,
    val source: SettingSource
) {
    /** The line that `settings` prints; a secret is shown by its length only. */
    fun toDisplayLine(): String {
        val shown = when {
            text.isEmpty() -> "(none)"
            spec.kind == SettingKind.Secret -> "(secret, ${text.length} characters)"
            else -> text
        }
        return "${spec.name} = $shown   # ${source.text}"
    }
}

/** The resolved settings of a command, and the errors found in them. */
internal data class SettingValues(
    val byName: PersistentMap<String, SettingValue>,
    val errors: PersistentList<String>
) {
    val all: List<SettingValue> get() = byName.values.toList()

    operator fun get(spec: SettingSpec): String = byName.getValue(spec.name).text

    fun long(spec: SettingSpec): Long = get(spec).toLong()

    fun int(spec: SettingSpec): Int = get(spec).toInt()

    fun millis(spec: SettingSpec): Duration = Duration.ofMillis(get(spec).toDouble().toLong())

    fun seconds(spec: SettingSpec): Duration =
        Duration.ofMillis((get(spec).toDouble() * MILLIS_PER_SECOND).toLong())
}

/** The inputs of the process: flags by name without dashes, and environment variables. */
internal data class SettingInputs(
    val flags: PersistentMap<String, String>,
    val environment: PersistentMap<String, String>
)

/** Resolves [specs]; the order is flag, environment variable, file, default. */
internal fun resolveSettings(
    specs: PersistentList<SettingSpec>,
    given: SettingInputs
): SettingValues = specs.fold(
    SettingValues(persistentMapOf(), persistentListOf())
) { values, spec -> values.resolve(spec, given) }.checkCombinations()

private fun SettingValues.resolve(spec: SettingSpec, given: SettingInputs): SettingValues {
    val found = lookUp(spec, given)
    val value = found.value ?: return copy(errors = errors.addAll(listOfNotNull(found.error)))
    val mayBeEmpty = value.text.isEmpty() && spec.default?.isEmpty() == true
    return if (mayBeEmpty || spec.kind.accepts(value.text)) {
        copy(byName = byName.put(spec.name, value))
    } else {
        val shown = if (spec.kind == SettingKind.Secret) "a secret" else "'${value.text}'"
        copy(
            errors = errors.add(
                "${spec.name}: found $shown from ${value.source.text}, " +
                    "expected ${spec.kind.expected}; correct it or leave it out"
            )
        )
    }
}

private class SettingLookup(val value: SettingValue?, val error: String? = null)

private fun lookUp(spec: SettingSpec, given: SettingInputs): SettingLookup {
    val flag = given.flags[spec.name]
    // Deployment templates leave a variable empty when they have no value for it.
    val variable = given.environment[spec.variable]?.takeIf { it.isNotEmpty() }
    val file = spec.fileFlagName?.let { given.flags[it] ?: given.environment[spec.fileVariable] }
    return when {
        flag != null -> SettingLookup(SettingValue(spec, flag, SettingSource.Flag(spec.flag)))
        variable != null ->
            SettingLookup(SettingValue(spec, variable, SettingSource.Variable(spec.variable)))
        file != null -> readSecretFile(spec, file)
        spec.default != null ->
            SettingLookup(SettingValue(spec, spec.default, SettingSource.Default))
        else -> SettingLookup(null, missingValueError(spec))
    }
}

private fun missingValueError(spec: SettingSpec): String {
    val file = spec.fileFlagName?.let { ", or a file by --$it or ${spec.fileVariable}" }.orEmpty()
    return "${spec.name}: no value, expected ${spec.kind.expected}; " +
        "set ${spec.flag} or ${spec.variable}$file"
}

private fun readSecretFile(spec: SettingSpec, path: String): SettingLookup = try {
    SettingLookup(SettingValue(spec, File(path).readText().trim(), SettingSource.FileContent(path)))
} catch (e: IOException) {
    SettingLookup(null, "${spec.name}: cannot read '$path' (${e.message}); name a readable file")
}

/** Checks the rules that involve more than one setting. */
private fun SettingValues.checkCombinations(): SettingValues {
    val default = byName[Settings.defaultTimeoutMillis.name]?.text?.toLongOrNull()
    val max = byName[Settings.maxTimeoutMillis.name]?.text?.toLongOrNull()
    val timeouts = "default-timeout-ms: found $default, expected at most max-timeout-ms ($max); " +
        "lower one or raise the other"
    val window = byName[Settings.onceWindowSeconds.name]?.text?.toLongOrNull()
    val retention = byName[Settings.logRetentionSeconds.name]?.text?.toLongOrNull()
    val windows = "once-window-s: found $window, expected at most half of log-retention-s " +
        "($retention), so that a claim outlives its key; lower it"
    val peerKey = "peer-key: no value, expected one because instance-list-url is set; set " +
        "${Settings.peerKey.variable} or a file by ${Settings.peerKey.fileVariable}"
    val hasPeers = byName[Settings.instanceListUrl.name]?.text?.isNotEmpty() == true
    val lacksKey = byName[Settings.peerKey.name]?.text?.isEmpty() == true
    val found = listOfNotNull(
        timeouts.takeIf { default != null && max != null && default > max },
        windows.takeIf { window != null && retention != null && window * 2 > retention },
        peerKey.takeIf { hasPeers && lacksKey }
    )
    return copy(errors = (errors + found).toPersistentList())
}
