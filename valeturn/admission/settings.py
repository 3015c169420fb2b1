"""Decodes the settings of a server from JSON.

The simulator sends the same object over its protocol that a deployment has in its configuration file.
"""

from __future__ import annotations

from . import interface

# The words of the settings, and what they stand for. An absent or unknown effect is taken as UNREPEATABLE.
EFFECTS = {
    "safe": interface.Effect.IDEMPOTENT,
    "keyed": interface.Effect.DEDUPLICATED,
    "unsafe": interface.Effect.UNREPEATABLE,
}
INTERRUPTIONS = {"drop": interface.Interruption.CANCEL, "pause": interface.Interruption.SUSPEND}
LOAD_ADVERTISEMENTS = {
    "level": interface.LoadAdvertisement.LEVEL,
    "credit": interface.LoadAdvertisement.CREDIT,
    "weight": interface.LoadAdvertisement.WEIGHT,
}
# The executor's names of gauges, and the fields of interface.Gauges.
GAUGES = {"cpu_busy": "busy", "runnable": "runnable", "mem_used": "memory", "sockets": "connections"}

# The largest number that is accepted: no sensible setting exceeds it, and arithmetic with larger ones ends in
# infinities.
MAX_NUMBER = 1e15
# Calls at a time where no quota is set; finite, as infinity times a duration of zero is not a number.
UNLIMITED_CALLS = 1e9
# Calls at a time where none is allowed: the quota is a divisor, with which waits become practically endless;
# 0 would raise ZeroDivisionError.
MIN_CALL_QUOTA = 1e-9


class Section:
    """An object within the settings, with accessors that check the types of its values.

    A text or a NaN among the numbers would otherwise raise only in a decision, at the first submission. The
    accessors raise a ValueError whose message begins with the path of the key.
    """

    def __init__(self, table, path=""):
        """Wrap a decoded JSON object; `path` leads to it, with a final dot, and is empty for the settings."""
        if not isinstance(table, dict):
            raise ValueError(f"{path.rstrip('.') or 'settings'}: wants an object, has {table!r}")
        self.table, self.path = table, path

    def get(self, key, default=None):
        """Return the value of any type, or the default where the key is absent or null."""
        value = self.table.get(key)
        return default if value is None else value

    def section(self, key):
        """Return the object under the key; an empty one where it is absent."""
        return Section(self.get(key, {}), f"{self.path}{key}.")

    def sections(self, key):
        """Return the objects of the list under the key."""
        return [Section(table, f"{self.path}{key}[{index}].") for index, table in enumerate(self.list(key))]

    def list(self, key):
        """Return the list under the key; an empty one where it is absent."""
        value = self.get(key, ())
        if not isinstance(value, (list, tuple)):
            raise ValueError(f"{self.path}{key}: wants a list, has {value!r}")
        return value

    def number(self, key, default):
        """Return the number under the key, or the default where it is absent or null."""
        value = self.get(key)
        return default if value is None else self.check_number(key, value)

    def check_number(self, key, value):
        """Return the value where it is a number from 0 to MAX_NUMBER; NaN and booleans are not."""
        if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
            raise ValueError(f"{self.path}{key}: wants a number of at least 0, has {value!r}")
        return value

    def seconds(self, key, default=0.0):
        """Return the milliseconds under the key in seconds; the default is in seconds."""
        value = self.number(key, None)
        return default if value is None else value / 1000.0

    def entry(self, key, index, default):
        """Return the entry of a list that has one for each workload, but may be shorter or hold nulls."""
        values = self.list(key)
        return values[index] if index < len(values) and values[index] is not None else default


class DecodedSettings:
    """One server's settings, and the indices of the names that occur in submissions.

    Attributes:
        settings: The settings of the admission controller.
        workloads: The indices of the workloads in the settings, by name.
        tenants: The indices of the tenants in the settings, by name.
        passes_time_left: Whether events of arrivals contain the seconds until the caller gives up.
        gauge_names: For each gauge that the executor reports, in its order, the field of interface.Gauges;
            None for one that the controller does not use.
    """

    def __init__(self, profile):
        """Decode the settings, an object decoded from JSON.

        Raises:
            ValueError: A value has a wrong type or is out of range; the message begins with its key.
            KeyError: A workload or a tenant has no name.
        """
        profile = Section(profile)
        domain, rules, allowed = [profile.section(key) for key in ("domain", "rules", "allowed")]
        self.workloads = {}
        workloads = []
        for index, workload in enumerate(profile.sections("request_classes")):
            self.workloads[workload.table["name"]] = index
            timeout = workload.seconds("give_up_ms", 60.0)
            workloads.append(
                interface.Workload(
                    name=workload.table["name"],
                    effect=EFFECTS.get(workload.get("semantics"), interface.Effect.UNREPEATABLE),
                    # No caller waits for an answer after the timeout.
                    latency_objective=min(timeout, workload.seconds("goal_time_ms", timeout)),
                    timeout=timeout,
                    value=workload.number("worth", 1.0),
                    late_value_share=workload.number("late_share", 0.0),
                    objective_stretch=workload.number("aim_stretch", 0.0),
                    deduplication_window=workload.seconds("window_ms"),
                    makes_call=bool(domain.entry("calls_by_class", index, False)),
                    degraded_value_share=domain.check_number(
                        "degraded_worth", domain.entry("degraded_worth", index, 0.0)
                    ),
                )
            )
        tenants = [
            interface.Tenant(tenant.table["name"], tenant.number("allowance_per_s", float("inf")))
            for tenant in profile.sections("tenants")
        ]
        self.tenants = {tenant.name: index for index, tenant in enumerate(tenants)}
        self.passes_time_left = bool(domain.get("passes_deadline", False))
        self.gauge_names = [GAUGES.get(name) for name in domain.list("gauges")]
        max_retry_after = allowed.seconds("max_retry_after_ms")
        self.settings = interface.Settings(
            workloads=tuple(workloads),
            tenants=tuple(tenants),
            servers=profile.number("servers", 1),
            cores=domain.number("cpus", 1),
            memory=domain.number("heap_kb", float("inf")),
            run_memory_factor=domain.number("run_mem_factor", 1.0),
            key_memory=domain.number("key_kb", 0.0),
            interruption=INTERRUPTIONS.get(domain.get("halt"), interface.Interruption.UNSUPPORTED),
            load_advertisement=LOAD_ADVERTISEMENTS.get(
                domain.get("say"), interface.LoadAdvertisement.DISABLED
            ),
            tick=profile.seconds("tick_ms"),
            answer_slack=rules.seconds("grace_to_answer_ms"),
            drain_grace=rules.seconds("drain_grace_ms"),
            max_concurrency_per_core=rules.number("overload_factor", 1.0),
            starts_cold=bool(domain.get("cold", False)),
            cold_start_speed=rules.number("start_capacity", 1.0),
            warm_up_time=rules.seconds("cold_ms"),
            call_quota=max(MIN_CALL_QUOTA, domain.number("calls_out", UNLIMITED_CALLS)),
            # A window of 0 would leave no credit for any call.
            call_quota_window=domain.seconds("calls_over_ms") or 1.0,
            call_linger=domain.seconds("linger_ms"),
            result_lifetime=domain.seconds("fresh_ms"),
            max_retry_after=max_retry_after if allowed.get("retry_after") else 0.0,
            value_per_unit_of_work=profile.get("counted_by") == "work",
            over_allowance_value=profile.number("over_share_worth", 1.0),
        )

    def __eq__(self, other):
        return isinstance(other, DecodedSettings) and vars(self) == vars(other)

    def gauges(self, values):
        """Return the executor's readings, a list in the order of `gauge_names` or None, as Gauges."""
        named = zip(self.gauge_names, values or ())
        return interface.Gauges(**{name: value for name, value in named if name})
