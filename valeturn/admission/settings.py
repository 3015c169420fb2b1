"""Decodes the settings: the same object comes by the bench's wire and in a configuration."""

from __future__ import annotations

from . import interface

EFFECTS = {
    "safe": interface.Effect.IDEMPOTENT,
    "keyed": interface.Effect.DEDUPLICATED,
    "unsafe": interface.Effect.UNREPEATABLE,
}
HALTING = {"drop": interface.Interruption.CANCEL, "pause": interface.Interruption.SUSPEND}
SAYING = {
    "level": interface.LoadAdvertisement.LEVEL,
    "credit": interface.LoadAdvertisement.CREDIT,
    "weight": interface.LoadAdvertisement.WEIGHT,
}
GAUGES = {"cpu_busy": "busy", "runnable": "runnable", "mem_used": "memory", "sockets": "connections"}


LARGEST = 1e15  # of any number: what is larger no page means, and arithmetic with it ends in infinities
UNBOUNDED = 1e9  # calls at a time where no share is told; finite, as infinity times no time is no number
LEAST_SHARE = 1e-9  # of calls at a time, where none is allowed: what is divided by it is for ever


class Section:
    """A part of the settings, whose values are what all who count with them can bear: a text or a NaN would
    fail in a decision, at the first submission, and not here. Raises ValueError, which names the key."""

    def __init__(self, table, where=""):
        if not isinstance(table, dict):
            raise ValueError(f"{where.rstrip('.') or 'settings'}: wants an object, has {table!r}")
        self.table, self.where = table, where

    def get(self, key, absent=None):
        value = self.table.get(key)
        return absent if value is None else value

    def section(self, key):
        return Section(self.get(key, {}), f"{self.where}{key}.")

    def sections(self, key):
        return [Section(one, f"{self.where}{key}[{index}].") for index, one in enumerate(self.list(key))]

    def list(self, key):
        value = self.get(key, ())
        if not isinstance(value, (list, tuple)):
            raise ValueError(f"{self.where}{key}: wants a list, has {value!r}")
        return value

    def number(self, key, absent):
        value = self.get(key)
        return absent if value is None else self.counted(key, value)

    def counted(self, key, value):
        if type(value) not in (int, float) or not 0 <= value <= LARGEST:
            raise ValueError(f"{self.where}{key}: wants a number of at least 0, has {value!r}")
        return value

    def seconds(self, key, absent=0.0):
        value = self.number(key, None)
        return absent if value is None else value / 1000.0

    def at(self, key, index, absent):
        """The entry of a list that has one for each workload, and may be short."""
        values = self.list(key)
        return values[index] if index < len(values) and values[index] is not None else absent


class DecodedSettings:
    """One server's settings, and the names that its fronts meet, mapped to small indices."""

    def __init__(self, profile):
        profile = Section(profile)
        domain, rules, allowed = [profile.section(key) for key in ("domain", "rules", "allowed")]
        self.workloads = {}
        workloads = []
        for index, c in enumerate(profile.sections("request_classes")):
            self.workloads[c.table["name"]] = index
            cut_off = c.seconds("give_up_ms", 60.0)
            workloads.append(
                interface.Workload(
                    name=c.table["name"],
                    effect=EFFECTS.get(c.get("semantics"), interface.Effect.UNREPEATABLE),
                    # Nobody waits for a goal that lies behind the cut-off.
                    latency_objective=min(cut_off, c.seconds("goal_time_ms", cut_off)),
                    timeout=cut_off,
                    value=c.number("worth", 1.0),
                    late_value_share=c.number("late_share", 0.0),
                    objective_stretch=c.number("aim_stretch", 0.0),
                    deduplication_window=c.seconds("window_ms"),
                    makes_call=bool(domain.at("calls_by_class", index, False)),
                    degraded_value_share=domain.counted(
                        "degraded_worth", domain.at("degraded_worth", index, 0.0)
                    ),
                )
            )
        tenants = [
            interface.Tenant(t.table["name"], t.number("allowance_per_s", float("inf")))
            for t in profile.sections("tenants")
        ]
        self.tenants = {t.name: index for index, t in enumerate(tenants)}
        self.passes_wait = bool(domain.get("passes_deadline", False))
        self.gauge_names = [GAUGES.get(name) for name in domain.list("gauges")]
        advice = allowed.seconds("max_retry_after_ms")
        self.settings = interface.Settings(
            workloads=tuple(workloads),
            tenants=tuple(tenants),
            servers=profile.number("servers", 1),
            cores=domain.number("cpus", 1),
            memory=domain.number("heap_kb", float("inf")),
            run_memory_factor=domain.number("run_mem_factor", 1.0),
            key_memory=domain.number("key_kb", 0.0),
            interruption=HALTING.get(domain.get("halt"), interface.Interruption.UNSUPPORTED),
            load_advertisement=SAYING.get(domain.get("say"), interface.LoadAdvertisement.DISABLED),
            tick=profile.seconds("tick_ms"),
            answer_slack=rules.seconds("grace_to_answer_ms"),
            drain_grace=rules.seconds("drain_grace_ms"),
            max_concurrency_per_core=rules.number("overload_factor", 1.0),
            starts_cold=bool(domain.get("cold", False)),
            cold_start_speed=rules.number("start_capacity", 1.0),
            warm_up_time=rules.seconds("cold_ms"),
            call_quota=max(LEAST_SHARE, domain.number("calls_out", UNBOUNDED)),
            call_quota_window=domain.seconds("calls_over_ms") or 1.0,
            call_linger=domain.seconds("linger_ms"),
            result_lifetime=domain.seconds("fresh_ms"),
            max_retry_after=advice if allowed.get("retry_after") else 0.0,
            value_per_unit_of_work=profile.get("counted_by") == "work",
            over_allowance_value=profile.number("over_share_worth", 1.0),
        )

    def __eq__(self, other):
        return isinstance(other, DecodedSettings) and vars(self) == vars(other)

    def gauges(self, values):
        named = zip(self.gauge_names, values or ())
        return interface.Gauges(**{name: value for name, value in named if name})
