package org.wisteriahinge.core

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.wisteriahinge.core.model.Entitlements
import org.wisteriahinge.core.model.Operation
import org.wisteriahinge.core.model.OperationId
import org.wisteriahinge.core.model.PathTemplate
import org.wisteriahinge.core.model.Repeatability
import org.wisteriahinge.core.model.Service
import org.wisteriahinge.core.model.ServiceId
import org.wisteriahinge.core.model.WorkClass
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Guards against requests that are matched to the wrong operation. */
class PathIndexTest {
    private fun operation(name: String, path: String) = Operation(
        OperationId(name),
        "GET",
        PathTemplate(path),
        Repeatability.Repeatable,
        WorkClass.Short
    )

    private val services = (1..260).map { number ->
        Service(
            ServiceId("s$number"),
            persistentListOf(),
            (1..10).map { operation("o$it", "/s$number/o$it/{id}") }.toPersistentList()
        )
    }
    private val entitlements = Entitlements(
        services.fold(persistentHashMapOf()) { all, service -> all.put(service.id, service) },
        persistentHashMapOf()
    )

    @Test
    fun `each operation of 260 services is found by its path`() {
        services.forEach { service ->
            service.operations.forEach { operation ->
                val path = "/${service.id}/${operation.id}/7?query=/x"
                val matched = entitlements.match("GET", path)
                expectThat(matched?.service?.id).isEqualTo(service.id)
                expectThat(matched?.operation?.id).isEqualTo(operation.id)
            }
        }
    }

    @Test
    fun `a different method, a shorter path and a longer path match nothing`() {
        expectThat(entitlements.match("POST", "/s1/o1/7")).isNull()
        expectThat(entitlements.match("GET", "/s1/o1")).isNull()
        expectThat(entitlements.match("GET", "/s1/o1/7/8")).isNull()
    }

    @Test
    fun `templates overlap when one path matches both`() {
        val template = PathTemplate("/a/{x}/c")
        expectThat(template.overlaps(PathTemplate("/a/b/{y}"))).isTrue()
        expectThat(template.overlaps(PathTemplate("/a/b/d"))).isFalse()
        expectThat(template.overlaps(PathTemplate("/a/b"))).isFalse()
    }
}
