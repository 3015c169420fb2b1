"""Translates between the simulator's messages and the types of the admission interface.

A message is an array: its name, the instance that it concerns, then fields by position. Times on the wire are
milliseconds; optional fields are null or left out at the end.
"""

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
HAS_COST_HINT, IS_RETRY = 1, 2  # bits of REQUEST's flags


class Decoder(DecodedSettings):
    """The settings of one instance, which map the names in its messages; decodes its events."""

    def event(self, message):
        """Decode a message whose name is in EVENTS; raises where a field has a wrong type or value."""
        # Positions end at 13, with REQUEST's cost hint: fields that were left out read as null.
        return EVENTS[message[0]](self, message + [None] * (15 - len(message)))

    def arrived(self, message):
        """Decode REQUEST."""
        flags = message[6] or 0
        cost_hint = message[13] if flags & HAS_COST_HINT else None
        return interface.Arrived(
            id=message[2],
            workload=self.workloads[message[7]],
            tenant=self.tenants.get(message[4]),
            waited=(message[3] or 0.0) / 1000.0,
            rank=message[5] or 0.0,
            is_retry=bool(flags & IS_RETRY),
            subject=message[8],
            caller=message[9] or 0,
            memory=message[10] or 0.0,
            time_left=(message[11] or 0.0) / 1000.0 if self.passes_time_left else None,
            duplicate_of=message[12] or None,
            cost_hint=None if cost_hint is None else cost_hint / 1000.0,
        )

    def timer_fired(self, message):
        """Decode TIMER."""
        return interface.TimerFired(message[2], self.gauges(message[3]))


EVENTS = {
    "REQUEST": Decoder.arrived,
    "ENDED": lambda decoder, message: interface.Ended(
        message[2], OUTCOMES[message[3]], (message[4] or 0.0) / 1000.0
    ),
    "EXPIRED": lambda decoder, message: interface.CallerGone(message[2]),
    "AWAITING": lambda decoder, message: interface.CallRequested(message[2]),
    "CALL_DONE": lambda decoder, message: interface.CallEnded(
        message[2], OUTCOMES[message[3]], (message[4] or 0.0) / 1000.0
    ),
    "QUIESCE": lambda decoder, message: interface.DrainStarted((message[2] or 0.0) / 1000.0),
    "TIMER": Decoder.timer_fired,
}


def _milliseconds(seconds):
    return round(seconds * 1000.0, 3)


# Encodes an action of an instance, by the action's type.
ACTIONS = {
    interface.Start: lambda instance, action: ["TAKE", instance, action.id],
    interface.Interrupt: lambda instance, action: ["SUSPEND", instance, action.id],
    interface.Reject: lambda instance, action: [
        "NOT_NOW",
        instance,
        action.id,
        _milliseconds(action.retry_after),
        action.final,
    ],
    interface.Fail: lambda instance, action: ["FAIL", instance, action.id],
    interface.Call: lambda instance, action: [
        "ASK_BELOW",
        instance,
        action.id,
        _milliseconds(action.timeout),
    ],
    interface.BypassCall: lambda instance, action: ["OMIT", instance, action.id],
    interface.StoreKey: lambda instance, action: [
        "STORE_KEY",
        instance,
        action.id,
        _milliseconds(action.lifetime),
    ],
    interface.Forget: lambda instance, action: ["FORGET", instance, action.id],
    interface.AnswerFromOriginal: lambda instance, action: ["ANSWER_FROM", instance, action.id],
    interface.Health: lambda instance, action: ["READINESS", instance, action.healthy, action.shallow],
    interface.AdvertiseLoad: lambda instance, action: ["ADVERTISE", instance, round(action.value, 4)],
    interface.CloseIdleConnections: lambda instance, action: [
        "CLOSE_IDLE",
        instance,
        _milliseconds(action.idle_time),
    ],
    interface.SetTimer: lambda instance, action: [
        "WAKE_AT",
        instance,
        _milliseconds(action.delay),
        action.timer,
    ],
    interface.Trace: lambda instance, action: ["TRACE", instance, action.text],
}
