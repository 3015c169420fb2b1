"""One HTTP exchange on a connection of its own. How far it came is part of what is returned.

A connection is never used twice: what comes behind an answer can't be taken for the next one's, and a reset
can't come from a connection that the other side had forgotten, so that it always means what it says.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ..protocol import http
from ..transport.streams import StreamFault, connect


class Stage(Enum):
    """How far an attempt came. Only UNSENT proves by itself that the call never ran."""

    UNSENT = "nothing of it was sent"
    SENT = "sent, nothing of an answer seen"
    PARTLY_ANSWERED = "an answer began"


class Failure(NamedTuple):
    stage: Stage
    fault: StreamFault


def exchange(scheduler, address, request, until):
    """A Response, a Malformed, or the Failure that came first."""
    stream = connect(scheduler, address, until - scheduler.clock())
    if isinstance(stream, StreamFault):
        return Failure(Stage.UNSENT, stream)
    try:
        return _answer(scheduler, stream, request, until)
    finally:
        stream.close()


def _answer(scheduler, stream, request, until):
    stage, answer, decoder = Stage.SENT, None, http.ResponseDecoder()
    if not stream.write(request):
        return Failure(stage, stream.fault)
    while answer is None:
        got = stream.read(max(0.0, until - scheduler.clock()))
        if isinstance(got, bytes):
            stage, answer = Stage.PARTLY_ANSWERED, decoder.feed(got)
        elif got is StreamFault.CLOSED and stage is Stage.PARTLY_ANSWERED:
            answer = decoder.end()
        else:
            return Failure(stage, got)
    return answer
