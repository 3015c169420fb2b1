"""Decodes the settings: the same object comes by the bench's wire and in a configuration."""

from __future__ import annotations

from . import interface as it

EFFECTS = {"safe": it.Effect.IDEMPOTENT, "keyed": it.Effect.DEDUPLICATED, "unsafe": it.Effect.UNREPEATABLE}
HALTING = {"drop": it.Halting.DROP, "pause": it.Halting.PAUSE}
SAYING = {"level": it.Saying.LEVEL, "credit": it.Saying.CREDIT, "weight": it.Saying.WEIGHT}
GAUGES = {"cpu_busy": "busy", "runnable": "runnable", "mem_used": "memory", "sockets": "connections"}


def _get(table, key, absent):
    value = table.get(key)
    return absent if value is None else value


def _seconds(table, key, absent=0.0):
    value = table.get(key)
    return absent if value is None else value / 1000.0


def _per_workload(domain, key, index, absent):
    values = domain.get(key) or ()
    return values[index] if index < len(values) and values[index] is not None else absent


class Names:
    """One server's settings, and the names that its fronts meet, mapped to small indices."""

    def __init__(self, profile):
        domain = _get(profile, "domain", {})
        rules = _get(profile, "rules", {})
        allowed = _get(profile, "allowed", {})
        self.workloads = {}
        workloads = []
        for index, c in enumerate(_get(profile, "request_classes", ())):
            self.workloads[c["name"]] = index
            cut_off = _seconds(c, "give_up_ms", 60.0)
            workloads.append(
                it.Workload(
                    name=c["name"],
                    effect=EFFECTS.get(c.get("semantics"), it.Effect.UNREPEATABLE),
                    latency_goal=_seconds(c, "goal_time_ms", cut_off),
                    cut_off=cut_off,
                    revenue=_get(c, "worth", 1.0),
                    late_share=_get(c, "late_share", 0.0),
                    goal_stretch=_get(c, "aim_stretch", 0.0),
                    window=_seconds(c, "window_ms"),
                    calls=bool(_per_workload(domain, "calls_by_class", index, False)),
                    poorer_share=_per_workload(domain, "degraded_worth", index, 0.0),
                )
            )
        tenants = [
            it.Tenant(t["name"], _get(t, "allowance_per_s", float("inf")))
            for t in _get(profile, "tenants", ())
        ]
        self.tenants = {t.name: index for index, t in enumerate(tenants)}
        self.passes_wait = bool(_get(domain, "passes_deadline", False))
        self.gauge_names = [GAUGES.get(name) for name in _get(domain, "gauges", ())]
        self.settings = it.Settings(
            workloads=tuple(workloads),
            tenants=tuple(tenants),
            servers=_get(profile, "servers", 1),
            cores=_get(domain, "cpus", 1),
            memory=_get(domain, "heap_kb", float("inf")),
            run_memory_factor=_get(domain, "run_mem_factor", 1.0),
            key_memory=_get(domain, "key_kb", 0.0),
            halting=HALTING.get(domain.get("halt"), it.Halting.OFF),
            saying=SAYING.get(domain.get("say"), it.Saying.OFF),
            tick=_seconds(profile, "tick_ms"),
            answer_slack=_seconds(rules, "grace_to_answer_ms"),
            drain_grace=_seconds(rules, "drain_grace_ms"),
            crowd_factor=_get(rules, "overload_factor", 1.0),
            cold=bool(_get(domain, "cold", False)),
            cold_speed=_get(rules, "start_capacity", 1.0),
            cold_time=_seconds(rules, "cold_ms"),
            calls_share=_get(domain, "calls_out", float("inf")),
            calls_window=_seconds(domain, "calls_over_ms"),
            call_linger=_seconds(domain, "linger_ms"),
            fresh_for=_seconds(domain, "fresh_ms"),
            longest_advice=_seconds(allowed, "max_retry_after_ms") if allowed.get("retry_after") else 0.0,
            by_work=profile.get("counted_by") == "work",
            over_share_worth=_get(profile, "over_share_worth", 1.0),
        )

    def __eq__(self, other):
        return isinstance(other, Names) and vars(self) == vars(other)

    def gauges(self, values):
        named = zip(self.gauge_names, values or ())
        return it.Gauges(**{name: value for name, value in named if name})
