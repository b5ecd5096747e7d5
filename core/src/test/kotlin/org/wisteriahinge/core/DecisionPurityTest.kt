package org.wisteriahinge.core

import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import java.time.Clock
import java.time.Instant
import org.junit.jupiter.api.Test

/** Guards against decisions that depend on a transport, a thread or the real clock. */
class DecisionPurityTest {
    private val classes = ClassFileImporter()
        .withImportOption(ImportOption.DoNotIncludeTests())
        .importPackages("org.wisteriahinge.core", "org.wisteriahinge.charts")

    @Test
    fun `decisions use no transport, codec or thread`() {
        noClasses().should().dependOnClassesThat().resideInAnyPackage(
            "io.ktor..",
            "io.netty..",
            "java.net..",
            "java.nio.channels..",
            "java.util.concurrent..",
            "kotlinx.coroutines..",
            "kotlinx.serialization.cbor..",
            "kotlinx.serialization.json.."
        ).check(classes)
    }

    @Test
    fun `decisions read no clock`() {
        noClasses().should().callMethod(Instant::class.java, "now")
            .orShould().callMethod(Clock::class.java, "systemUTC")
            .orShould().callMethod(System::class.java, "currentTimeMillis")
            .orShould().callMethod(System::class.java, "nanoTime")
            .check(classes)
    }
}
