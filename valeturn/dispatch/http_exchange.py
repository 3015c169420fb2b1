"""One HTTP exchange on a connection of its own; a failure says how far the exchange had come.

A connection is never used twice. Bytes behind an answer can't be taken for the next answer, and a reset can't
come from a connection that the other side had already forgotten: it always concerns this exchange.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ..protocol import http
from ..transport.streams import StreamFault, connect


class Stage(Enum):
    """How far an exchange came. Only UNSENT proves by itself that the request was not carried out."""

    UNSENT = "nothing of the request was sent"
    SENT = "request sent, no part of an answer received"
    PARTLY_ANSWERED = "part of an answer received"


class Failure(NamedTuple):
    """An exchange that ended without an answer: how far it came, and what ended it."""

    stage: Stage
    fault: StreamFault


def exchange(scheduler, address, request, deadline):
    """Send the request and wait for the answer until `deadline`, in seconds of the scheduler's clock.

    Returns an http.Response, an http.Malformed, or a Failure.
    """
    stream = connect(scheduler, address, deadline - scheduler.clock())
    if isinstance(stream, StreamFault):
        return Failure(Stage.UNSENT, stream)
    try:
        return _answer(scheduler, stream, request, deadline)
    finally:
        stream.close()


def _answer(scheduler, stream, request, deadline):
    """Send the request on a connected stream and decode what comes back."""
    stage, answer, decoder = Stage.SENT, None, http.ResponseDecoder()
    if not stream.write(request):
        return Failure(stage, stream.fault)
    while answer is None:
        received = stream.read(max(0.0, deadline - scheduler.clock()))
        if isinstance(received, bytes):
            stage, answer = Stage.PARTLY_ANSWERED, decoder.feed(received)
        elif received is StreamFault.CLOSED and stage is Stage.PARTLY_ANSWERED:
            answer = decoder.end()
        else:
            return Failure(stage, received)
    return answer
