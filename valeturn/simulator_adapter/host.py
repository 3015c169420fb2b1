"""Reads batches, hands each instance its events in one call and writes one whole reply a batch."""

from __future__ import annotations

import json
import sys

from ..admission.controller import AdmissionController
from .wire import ACTIONS, EVENTS, Decoder

WRITE = json.JSONEncoder(separators=(",", ":")).encode  # made once: json.dumps would make one a message


def _complain(text):
    print(f"valeturn: {text}", file=sys.stderr, flush=True)


class Host:
    def __init__(self):
        self.instances = {}  # instance -> (decoder, module)
        self.clock = 0.0
        self.batch = []

    def line(self, text):
        """Takes one line; returns a reply's messages at the end of a batch, else None."""
        try:
            message = json.loads(text)
            name = message[0]
            if not isinstance(name, str):
                raise TypeError("the name of a message is text")
            if name == "SYNC":
                self.clock, self.batch = float(message[1]) / 1000.0, []
            elif name != "YOUR_TURN":
                hash(message[1])
                self.batch.append(message)
        except (ValueError, TypeError, IndexError, KeyError) as error:
            _complain(f"malformed line {text[:120]!r}: {error}")
            return None
        return self.reply() if name == "YOUR_TURN" else None

    def reply(self):
        pending, out = {}, []
        for m in self.batch:
            i = m[1]
            try:
                if m[0] == "UP":
                    decoder = Decoder(m[3])
                    self.instances[i] = decoder, AdmissionController(decoder.settings, m[2], self.clock)
                    pending[i] = []
                elif m[0] == "DOWN":
                    self.instances.pop(i, None)
                    pending.pop(i, None)
                elif m[0] not in EVENTS:
                    _complain(f"unknown message {m[0]!r}")
                elif i not in self.instances:
                    _complain(f"{m[0]} for instance {i!r}, which is not up")
                else:
                    pending.setdefault(i, []).append(self.instances[i][0].event(m))
            except Exception as error:
                _complain(f"malformed {m[0]}: {error!r}")
                out.append(["BROKEN", i, f"malformed {m[0]}: {error!r}"])
        for i, events in pending.items():
            try:
                actions = self.instances[i][1].decide(self.clock, events)
                out.extend([ACTIONS[type(a)](i, a) for a in actions])
            except Exception as error:
                _complain(f"instance {i!r}: {error!r}")
                out.append(["BROKEN", i, repr(error)])
        self.batch = []
        return out


def serve(source, sink):
    host = Host()
    for text in source:
        if not text.strip():
            continue
        reply = host.line(text)
        if reply is not None:
            lines = [WRITE(m) for m in reply]
            sink.write(("\n".join(lines + ['["DONE"]']) + "\n").encode())
            sink.flush()
    return 0
