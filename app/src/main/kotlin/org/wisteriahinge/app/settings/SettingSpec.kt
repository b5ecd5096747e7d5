package org.wisteriahinge.app.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * A setting, given as a flag, an environment variable or, for a secret, a file.
 *
 * [default] is null when a value is required.
 */
internal data class SettingSpec(
    val name: String,
    val kind: SettingKind,
    val default: String?,
    val help: String
) {
    /** The flag that sets it. */
    val flag: String get() = "--$name"

    /** The environment variable that sets it when the flag is absent. */
    val variable: String get() = "WISTERIAHINGE_" + name.uppercase().replace('-', '_')

    /** The flag that names a file with the value; only secrets have one. */
    val fileFlagName: String? get() = if (kind == SettingKind.Secret) "$name-file" else null

    /** The environment variable that names a file with the value. */
    val fileVariable: String get() = variable + "_FILE"

    /** Help with unit, bounds, default and environment variable. */
    val description: String
        get() = "$help; ${kind.expected}; ${default?.let { "default '$it'" } ?: "no default"}; " +
            "or $variable"
}

/** All settings, in the order in which they are printed. */
internal object Settings {
    val zone = SettingSpec("zone", SettingKind.Word, null, "Zone of this instance")
    val instanceName = SettingSpec(
        "instance-name",
        SettingKind.Word,
        "instance",
        "Name of this instance in the platform's instance list"
    )
    val callerHost =
        SettingSpec("caller-host", SettingKind.Host, "127.0.0.1", "Address that serves callers")
    val callerPort = port("caller-port", "8080", "Port that serves callers, 0 for any free one")
    val adminHost =
        SettingSpec("admin-host", SettingKind.Host, "127.0.0.1", "Address for operators")
    val adminPort = port("admin-port", "8081", "Port for operators, 0 for any free one")
    val drainSeconds = SettingSpec(
        "drain-time-s",
        SettingKind.Whole("s", 0, 3_600),
        "20",
        "Time that calls in progress have after SIGTERM"
    )
    val peerHost =
        SettingSpec("peer-host", SettingKind.Host, "127.0.0.1", "Address for other instances")
    val peerPort = port("peer-port", "8082", "Port for other instances, 0 for any free one")
    val instanceListUrl = SettingSpec(
        "instance-list-url",
        SettingKind.Url,
        "",
        "Platform's instance list; empty for an instance without peers"
    )
    val logUrl = SettingSpec("log-url", SettingKind.Url, null, "Platform's log service")
    val logTimeoutMillis = SettingSpec(
        "log-timeout-ms",
        SettingKind.Whole("ms", 100, 60_000),
        "5000",
        "Longest wait for one operation on the log"
    )
    val logRetentionSeconds = SettingSpec(
        "log-retention-s",
        SettingKind.Whole("s", 600, 31_536_000),
        "86400",
        "How long the log keeps records; snapshots are rewritten after an eighth of it"
    )
    val defaultTimeoutMillis = SettingSpec(
        "default-timeout-ms",
        SettingKind.Whole("ms", 1, 3_600_000),
        "10000",
        "Time for a call whose caller states none"
    )
    val maxTimeoutMillis = SettingSpec(
        "max-timeout-ms",
        SettingKind.Whole("ms", 1, 3_600_000),
        "600000",
        "Longest time that a caller can ask for"
    )
    val maxConnectionsPerTarget = SettingSpec(
        "max-connections-per-target",
        SettingKind.Whole("connections", 1, 250),
        "13",
        "Connections of this instance to one target; all instances together may open 250"
    )
    val bodyBufferBytes = SettingSpec(
        "body-buffer-bytes",
        SettingKind.Whole("B", 0, 16_777_216),
        "262144",
        "Longest body that is kept in memory, so that it can be sent again"
    )
    val bodyMemoryBytes = SettingSpec(
        "body-memory-bytes",
        SettingKind.Whole("B", 0, 8_589_934_592),
        "67108864",
        "Memory for all bodies that are kept at a time"
    )
    val maxDescriptors = SettingSpec(
        "max-descriptors",
        SettingKind.Whole("descriptors", 256, 1_048_576),
        "4096",
        "Files and connections that the machine lets the process open"
    )
    val clientMemoryShare = SettingSpec(
        "client-memory-share",
        SettingKind.Decimal("parts of the heap", 0.05, 0.8),
        "0.35",
        "Memory for all that clients hold: connections, heads, bodies and unread answers"
    )
    val answerReadTimeoutSeconds = SettingSpec(
        "answer-read-timeout-s",
        SettingKind.Whole("s", 1, 3_600),
        "30",
        "Longest time for which a client may take nothing of its answer"
    )
    val maxBodyBytes = SettingSpec(
        "max-body-bytes",
        SettingKind.Whole("B", 0, 1_099_511_627_776),
        "8589934592",
        "Longest body that is accepted"
    )
    val onceWindowSeconds = SettingSpec(
        "once-window-s",
        SettingKind.Whole("s", 10, 86_400),
        "600",
        "Age up to which an idempotency key is accepted; must be far below log-retention-s"
    )
    val onceAppendsPerSecond = SettingSpec(
        "once-appends-per-s",
        SettingKind.Whole("appends a second", 1, 10_000),
        "200",
        "Limit on appends of claims by all instances together"
    )
    val credentialKey = SettingSpec(
        "credential-key",
        SettingKind.Secret,
        null,
        "Secret key of the deployment for hashes of callers' secrets"
    )
    val peerKey = SettingSpec(
        "peer-key",
        SettingKind.Secret,
        "",
        "Secret key of the deployment for messages between instances"
    )

    val callerAddress =
        SettingSpec("caller-address", SettingKind.Address, null, "Address that serves callers")
    val readyAddress = SettingSpec(
        "ready-address",
        SettingKind.Address,
        null,
        "Address at which the platform asks whether the instance is ready"
    )
    val storeAddress =
        SettingSpec("store-address", SettingKind.Address, null, "Address of the platform's store")
    val relayAddress = SettingSpec(
        "relay-address",
        SettingKind.Address,
        "",
        "Address at which this instance serves what it reads at the store, if it is in relays"
    )
    val relays = SettingSpec(
        "relays",
        SettingKind.Addresses,
        "",
        "Addresses of the instances that read the store for the others; empty for none"
    )
    val handoverAddress = SettingSpec(
        "handover-address",
        SettingKind.Address,
        "",
        "Address at which this instance takes calls that others cannot serve; empty for none"
    )
    val storePartitions = SettingSpec(
        "store-partitions",
        SettingKind.Whole("partitions", 1, 1_000),
        "12",
        "Partitions of each topic of the platform's store"
    )
    val configurationBoundMillis = SettingSpec(
        "configuration-bound-ms",
        SettingKind.Decimal("ms", 500.0, 60_000.0),
        "2000",
        "Time in which a configuration is in force everywhere after the store accepted it"
    )
    val drainBoundMillis = SettingSpec(
        "drain-bound-ms",
        SettingKind.Decimal("ms", 500.0, 60_000.0),
        "2000",
        "Time in which every instance knows that a target drains, after the store accepted it"
    )
    val revocationBoundMillis = SettingSpec(
        "revocation-bound-ms",
        SettingKind.Decimal("ms", 1_000.0, 600_000.0),
        "",
        "Time after which no instance accepts a key that a configuration took away; empty for none"
    )
    val graceSeconds = SettingSpec(
        "grace-time-s",
        SettingKind.Decimal("s", 0.5, 3_600.0),
        "6",
        "Time between SIGTERM and the end of the process"
    )
    val retryRatio = SettingSpec(
        "retry-ratio",
        SettingKind.Decimal("retries per request", 0.0, 1.0),
        "0.2",
        "Share of the requests of a service that may be retried"
    )
    val retryWindowSeconds = SettingSpec(
        "retry-window-s",
        SettingKind.Decimal("s", 0.5, 3_600.0),
        "10",
        "Time window in which retry-ratio applies"
    )

    val hedgeRatio = SettingSpec(
        "hedge-ratio",
        SettingKind.Decimal("hedges per repeatable request", 0.0, 1.0),
        "1",
        "Share of the repeatable requests of a service that may be sent to a second target " +
            "while the first is slow, within retry-ratio; 0 for none"
    )

    /** The settings of `run`, which `settings` prints. */
    val ofInstance: PersistentList<SettingSpec> = persistentListOf(
        zone,
        instanceName,
        callerHost,
        callerPort,
        adminHost,
        adminPort,
        drainSeconds,
        peerHost,
        peerPort,
        instanceListUrl,
        logUrl,
        logTimeoutMillis,
        logRetentionSeconds,
        defaultTimeoutMillis,
        maxTimeoutMillis,
        maxConnectionsPerTarget,
        bodyBufferBytes,
        bodyMemoryBytes,
        maxBodyBytes,
        maxDescriptors,
        clientMemoryShare,
        answerReadTimeoutSeconds,
        onceWindowSeconds,
        onceAppendsPerSecond,
        credentialKey,
        peerKey
    )

    /** The settings of `front`. */
    val ofFront: PersistentList<SettingSpec> = persistentListOf(
        zone,
        instanceName,
        callerAddress,
        readyAddress,
        storeAddress,
        relayAddress,
        relays,
        handoverAddress,
        storePartitions,
        configurationBoundMillis,
        drainBoundMillis,
        revocationBoundMillis,
        graceSeconds,
        retryRatio,
        retryWindowSeconds,
        hedgeRatio,
        defaultTimeoutMillis,
        maxTimeoutMillis,
        bodyMemoryBytes,
        maxDescriptors,
        clientMemoryShare,
        answerReadTimeoutSeconds
    )

    /** The settings of commands that read or write the log. */
    val ofLogCommands: PersistentList<SettingSpec> = persistentListOf(logUrl, logTimeoutMillis)

    private fun port(name: String, default: String, help: String) =
        SettingSpec(name, SettingKind.Port, default, help)
}
