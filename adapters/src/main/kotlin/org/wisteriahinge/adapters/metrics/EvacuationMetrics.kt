package org.wisteriahinge.adapters.metrics

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.wisteriahinge.core.model.Zone

/** Adds a gauge of the zones that [evacuated] returns to [registry]. */
public fun registerEvacuatedZones(registry: PrometheusRegistry, evacuated: () -> Set<Zone>) {
    GaugeWithCallback.builder()
        .name("wisteriahinge_zone_evacuated")
        .help("1 for each zone whose targets get nothing because the operator evacuated it")
        .labelNames("zone")
        .callback { gauge -> evacuated().forEach { gauge.call(1.0, it.value) } }
        .register(registry)
}
