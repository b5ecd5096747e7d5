@file:OptIn(ExperimentalCli::class)

package org.wisteriahinge.app.command

import java.io.PrintStream
import kotlinx.cli.ArgType
import kotlinx.cli.CLIEntity
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.wisteriahinge.app.ExitCode
import org.wisteriahinge.app.settings.SettingInputs
import org.wisteriahinge.app.settings.SettingSpec
import org.wisteriahinge.app.settings.SettingValues
import org.wisteriahinge.app.settings.resolveSettings

/** The environment variables and output streams of a command; tests pass their own. */
internal class CommandContext(
    val environment: PersistentMap<String, String>,
    val out: PrintStream,
    val err: PrintStream
)

/**
 * A command of the program. Its result is an [ExitCode].
 *
 * Each of the settings in [specs] can be given as a flag.
 */
internal abstract class Command(
    name: String,
    help: String,
    protected val context: CommandContext,
    private val specs: PersistentList<SettingSpec> = persistentListOf()
) : Subcommand(name, help) {
    private var options: PersistentMap<String, CLIEntity<String?>> = persistentMapOf()
    private var switches: PersistentList<String> = persistentListOf()

    /** The result of the last execution; null when the command was not executed. */
    var result: Int? = null
        private set

    init {
        specs.forEach { spec ->
            declare(spec.name, spec.description)
            spec.fileFlagName?.let { declare(it, "File with the value of --${spec.name}") }
        }
    }

    /** Declares a flag that takes a value. */
    protected fun flag(name: String, help: String): CLIEntity<String?> = declare(name, help)

    /** Declares a flag without a value. */
    protected fun switch(name: String, help: String): CLIEntity<Boolean?> {
        switches = switches.add(name)
        return option(ArgType.Boolean, name, description = help)
    }

    private fun declare(name: String, help: String): CLIEntity<String?> {
        val entity = option(ArgType.String, name, description = help)
        options = options.put(name, entity)
        return entity
    }

    /** Performs the command and returns its exit code. */
    protected abstract fun run(): Int

    override fun execute() {
        result = run()
    }

    /** The errors in [arguments]; kotlinx-cli would exit on them with its own exit code. */
    fun argumentErrors(arguments: List<String>): List<String> {
        val first = arguments.firstOrNull() ?: return emptyList()
        val name = first.removePrefix("--")
        return when {
            first == "-h" || first == "--help" -> emptyList()
            !first.startsWith("--") ->
                listOf("unexpected argument '$first'") + argumentErrors(arguments.drop(1))
            name in switches -> argumentErrors(arguments.drop(1))
            name !in options -> listOf("unknown flag '$first'") + argumentErrors(arguments.drop(2))
            arguments.size < 2 -> listOf("flag '$first' needs a value")
            else -> argumentErrors(arguments.drop(2))
        }
    }

    /** Resolves the settings of this command from its flags and the environment. */
    protected fun settings(): SettingValues {
        val flags = options.entries.fold(persistentMapOf<String, String>()) { all, (name, entity) ->
            entity.value?.let { all.put(name, it) } ?: all
        }
        return resolveSettings(specs, SettingInputs(flags, context.environment))
    }

    /** Runs [use] with the settings, or prints all errors in them. */
    protected fun withSettings(use: (SettingValues) -> Int): Int {
        val values = settings()
        return if (values.errors.isEmpty()) use(values) else reportBadInput(values.errors)
    }

    /** Prints [errors] and returns the exit code for bad input. */
    protected fun reportBadInput(errors: List<String>): Int {
        errors.forEach { context.err.println("wisteriahinge $name: $it") }
        return ExitCode.USAGE
    }

    /** Prints [problem] and returns the exit code for a failure. */
    protected fun reportFailure(problem: String): Int {
        context.err.println("wisteriahinge $name: $problem")
        return ExitCode.FAILED
    }
}
