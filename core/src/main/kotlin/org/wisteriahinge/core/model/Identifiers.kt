package org.wisteriahinge.core.model

/** Name of a customer in the customers' list. */
@JvmInline
public value class CustomerId(public val value: String) {
    override fun toString(): String = value
}

/** Public part of a caller's credential, which identifies it in logs. */
@JvmInline
public value class CredentialId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a plan. */
@JvmInline
public value class PlanId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a service: a group of targets that serve the same operations. */
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Name of an operation, unique within its service. */
@JvmInline
public value class OperationId(public val value: String) {
    override fun toString(): String = value
}

/** Name of a target, unique over all services. */
@JvmInline
public value class TargetId(public val value: String) {
    override fun toString(): String = value
}

/** Name of an availability zone, which is one data centre. */
@JvmInline
public value class Zone(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a process of the load balancer; a restarted instance has a new one. */
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a call within its instance. */
@JvmInline
public value class CallId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Identifies an attempt to send a call to a target, within its instance. */
@JvmInline
public value class AttemptId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** A caller's idempotency key: a UUID of version 7 in canonical form. */
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** Keyed hash of the content of a request; equal for repetitions of the request. */
@JvmInline
public value class RequestDigest(public val value: String) {
    override fun toString(): String = value
}
