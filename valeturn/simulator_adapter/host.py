"""Hosts the admission controllers of any number of simulated servers.

The simulator sends batches of messages, one JSON array per line: SYNC with the time begins a batch and
YOUR_TURN ends it. Each instance gets its events of a batch in one call of `decide`. The reply to a batch is
written as a whole: the actions of all instances, then DONE.
"""

from __future__ import annotations

import json
import sys

from ..admission.controller import AdmissionController
from .wire import ACTIONS, EVENTS, Decoder

# Constructed once: json.dumps with separators would construct an encoder for each message.
ENCODE_JSON = json.JSONEncoder(separators=(",", ":")).encode


def _log_error(text):
    print(f"valeturn: {text}", file=sys.stderr, flush=True)


class Host:
    """The instances, and the batch that is being received.

    Attributes:
        instances: (decoder, controller) of each instance that is up, by the simulator's name for it.
        clock: The time of the batch in seconds.
        batch: The messages received since SYNC.
    """

    def __init__(self):
        self.instances = {}
        self.clock = 0.0
        self.batch = []

    def receive_line(self, text):
        """Process one line; return the reply's messages at the end of a batch, else None.

        A malformed line is reported on stderr and skipped.
        """
        try:
            message = json.loads(text)
            name = message[0]
            if not isinstance(name, str):
                raise TypeError("the name of a message is not a string")
            if name == "SYNC":
                self.clock, self.batch = float(message[1]) / 1000.0, []
            elif name != "YOUR_TURN":
                hash(message[1])  # the instance becomes a key of dicts: TypeError where it cannot be one
                self.batch.append(message)
        except (ValueError, TypeError, IndexError, KeyError) as error:
            _log_error(f"malformed line {text[:120]!r}: {error}")
            return None
        return self.reply() if name == "YOUR_TURN" else None

    def reply(self):
        """Process the batch; return the actions of all instances as messages.

        An instance whose message is malformed or whose controller raises is reported as BROKEN; the other
        messages and instances are not affected.
        """
        pending, replies = {}, []  # pending: instance -> its events
        for message in self.batch:
            instance = message[1]
            try:
                if message[0] == "UP":
                    decoder = Decoder(message[3])
                    self.instances[instance] = (
                        decoder,
                        AdmissionController(decoder.settings, message[2], self.clock),
                    )
                    pending[instance] = []
                elif message[0] == "DOWN":
                    self.instances.pop(instance, None)
                    pending.pop(instance, None)
                elif message[0] not in EVENTS:
                    _log_error(f"unknown message {message[0]!r}")
                elif instance not in self.instances:
                    _log_error(f"{message[0]} for instance {instance!r}, which is not up")
                else:
                    pending.setdefault(instance, []).append(self.instances[instance][0].event(message))
            except Exception as error:
                _log_error(f"malformed {message[0]}: {error!r}")
                replies.append(["BROKEN", instance, f"malformed {message[0]}: {error!r}"])
        for instance, events in pending.items():
            try:
                actions = self.instances[instance][1].decide(self.clock, events)
                replies.extend([ACTIONS[type(action)](instance, action) for action in actions])
            except Exception as error:
                _log_error(f"instance {instance!r}: {error!r}")
                replies.append(["BROKEN", instance, repr(error)])
        self.batch = []
        return replies


def serve(source, sink):
    """Answer the batches that are read from `source` on `sink`, both binary, until the input ends.

    Returns the exit status of the process.
    """
    host = Host()
    for text in source:
        if not text.strip():
            continue
        reply = host.receive_line(text)
        if reply is not None:
            lines = [ENCODE_JSON(message) for message in reply]
            sink.write(("\n".join(lines + ['["DONE"]']) + "\n").encode())
            sink.flush()
    return 0
