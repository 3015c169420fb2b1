"""Translates between the wire's messages and the module's types."""

from __future__ import annotations

from ..admission import interface
from ..admission.settings import DecodedSettings

OUTCOMES = {
    "done": interface.Outcome.DONE,
    "err": interface.Outcome.ERROR,
    "busy": interface.Outcome.REFUSED,
    "etimedout": interface.Outcome.TIMED_OUT,
    "econnrefused": interface.Outcome.UNREACHED,
    "econnreset": interface.Outcome.RESET,
    "ecanceled": interface.Outcome.CANCELLED,
    "skipped": interface.Outcome.MOOT,
}
HINTED, RETRY = 1, 2


class Decoder(DecodedSettings):
    """One instance's settings and events."""

    def event(self, m):
        return EVENTS[m[0]](self, m + [None] * (15 - len(m)))

    def arrived(self, m):
        bits = m[6] or 0
        hint = m[13] if bits & HINTED else None
        return interface.Arrived(
            id=m[2],
            workload=self.workloads[m[7]],
            tenant=self.tenants.get(m[4]),
            waited=(m[3] or 0.0) / 1000.0,
            rank=m[5] or 0.0,
            is_retry=bool(bits & RETRY),
            subject=m[8],
            caller=m[9] or 0,
            memory=m[10] or 0.0,
            time_left=(m[11] or 0.0) / 1000.0 if self.passes_wait else None,
            duplicate_of=m[12] or None,
            cost_hint=None if hint is None else hint / 1000.0,
        )

    def woken(self, m):
        return interface.TimerFired(m[2], self.gauges(m[3]))


EVENTS = {
    "REQUEST": Decoder.arrived,
    "ENDED": lambda d, m: interface.Ended(m[2], OUTCOMES[m[3]], (m[4] or 0.0) / 1000.0),
    "EXPIRED": lambda d, m: interface.CallerGone(m[2]),
    "AWAITING": lambda d, m: interface.CallRequested(m[2]),
    "CALL_DONE": lambda d, m: interface.CallEnded(m[2], OUTCOMES[m[3]], (m[4] or 0.0) / 1000.0),
    "QUIESCE": lambda d, m: interface.DrainStarted((m[2] or 0.0) / 1000.0),
    "TIMER": Decoder.woken,
}


def _ms(seconds):
    return round(seconds * 1000.0, 3)


ACTIONS = {
    interface.Start: lambda i, a: ["TAKE", i, a.id],
    interface.Interrupt: lambda i, a: ["SUSPEND", i, a.id],
    interface.Reject: lambda i, a: ["NOT_NOW", i, a.id, _ms(a.retry_after), a.final],
    interface.Fail: lambda i, a: ["FAIL", i, a.id],
    interface.Call: lambda i, a: ["ASK_BELOW", i, a.id, _ms(a.timeout)],
    interface.BypassCall: lambda i, a: ["OMIT", i, a.id],
    interface.StoreKey: lambda i, a: ["STORE_KEY", i, a.id, _ms(a.lifetime)],
    interface.Forget: lambda i, a: ["FORGET", i, a.id],
    interface.AnswerFromOriginal: lambda i, a: ["ANSWER_FROM", i, a.id],
    interface.Health: lambda i, a: ["READINESS", i, a.healthy, a.shallow],
    interface.AdvertiseLoad: lambda i, a: ["ADVERTISE", i, round(a.value, 4)],
    interface.CloseIdleConnections: lambda i, a: ["CLOSE_IDLE", i, _ms(a.idle_time)],
    interface.SetTimer: lambda i, a: ["WAKE_AT", i, _ms(a.delay), a.timer],
    interface.Trace: lambda i, a: ["TRACE", i, a.text],
}
