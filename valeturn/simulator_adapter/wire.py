"""Translates between the wire's messages and the module's types."""

from __future__ import annotations

from ..admission import interface as it
from ..admission.settings import Names

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
HINTED, RETRY = 1, 2


class Decoder(Names):
    """One instance's settings and events."""

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
        return it.Woken(m[2], self.gauges(m[3]))


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
