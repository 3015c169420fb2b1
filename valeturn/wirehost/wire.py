"""Translates between the wire's messages and the module's types."""

from __future__ import annotations

from .. import interface as it

OUTCOMES = {
    "done": it.Outcome.DONE,
    "err": it.Outcome.ERROR,
    "busy": it.Outcome.REFUSED,
    "etimedout": it.Outcome.TIMED_OUT,
    "econnrefused": it.Outcome.UNREACHED,
    "econnreset": it.Outcome.RESET,
    "ecanceled": it.Outcome.CANCELLED,
    "skipped": it.Outcome.MOOT,
}
EFFECTS = {"safe": it.Effect.IDEMPOTENT, "keyed": it.Effect.DEDUPLICATED, "unsafe": it.Effect.UNREPEATABLE}
HALTING = {"drop": it.Halting.DROP, "pause": it.Halting.PAUSE}
SAYING = {"level": it.Saying.LEVEL, "credit": it.Saying.CREDIT, "weight": it.Saying.WEIGHT}
HINTED, RETRY = 1, 2
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


class Decoder:
    """One instance's settings and the names that its events use."""

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
        self.gauges = [GAUGES.get(name) for name in _get(domain, "gauges", ())]
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

    def event(self, m):
        return EVENTS[m[0]](self, m + [None] * (15 - len(m)))

    def arrived(self, m):
        bits = m[6] or 0
        hint = m[13] if bits & HINTED else None
        return it.Arrived(
            id=m[2],
            workload=self.workloads[m[7]],
            tenant=self.tenants.get(m[4]),
            waited=(m[3] or 0.0) / 1000.0,
            rank=m[5] or 0.0,
            retry=bool(bits & RETRY),
            subject=m[8],
            caller=m[9] or 0,
            memory=m[10] or 0.0,
            left=(m[11] or 0.0) / 1000.0 if self.passes_wait else None,
            repeats=m[12] or None,
            cost_hint=None if hint is None else hint / 1000.0,
        )

    def woken(self, m):
        named = zip(self.gauges, m[3] or ())
        return it.Woken(m[2], it.Gauges(**{name: value for name, value in named if name}))


EVENTS = {
    "REQUEST": Decoder.arrived,
    "ENDED": lambda d, m: it.Ended(m[2], OUTCOMES[m[3]], (m[4] or 0.0) / 1000.0),
    "EXPIRED": lambda d, m: it.Gone(m[2]),
    "AWAITING": lambda d, m: it.AtCall(m[2]),
    "CALL_DONE": lambda d, m: it.CallEnded(m[2], OUTCOMES[m[3]], (m[4] or 0.0) / 1000.0),
    "QUIESCE": lambda d, m: it.Leave((m[2] or 0.0) / 1000.0),
    "TIMER": Decoder.woken,
}


def _ms(seconds):
    return round(seconds * 1000.0, 3)


ACTIONS = {
    it.Start: lambda i, a: ["TAKE", i, a.id],
    it.Halt: lambda i, a: ["SUSPEND", i, a.id],
    it.TurnBack: lambda i, a: ["NOT_NOW", i, a.id, _ms(a.retry_in), a.final],
    it.WriteOff: lambda i, a: ["FAIL", i, a.id],
    it.Call: lambda i, a: ["ASK_BELOW", i, a.id, _ms(a.wait)],
    it.GoWithout: lambda i, a: ["OMIT", i, a.id],
    it.Remember: lambda i, a: ["STORE_KEY", i, a.id, _ms(a.lasting)],
    it.Forget: lambda i, a: ["FORGET", i, a.id],
    it.AnswerFrom: lambda i, a: ["ANSWER_FROM", i, a.id],
    it.Health: lambda i, a: ["READINESS", i, a.good, a.shallow],
    it.Say: lambda i, a: ["ADVERTISE", i, round(a.value, 4)],
    it.CloseIdle: lambda i, a: ["CLOSE_IDLE", i, _ms(a.after)],
    it.Wake: lambda i, a: ["WAKE_AT", i, _ms(a.after), a.mark],
    it.Note: lambda i, a: ["TRACE", i, a.text],
}
