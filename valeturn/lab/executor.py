"""A stand-in for the executor that outlives the server and counts how often each effect ran.

The protocol's page leaves open what an executor that is still there tells a server that has started anew.
This one numbers its notices from 1 again and tells those that it kept first, so that ends from before the
restart come through; with `kept=0` it forgets them, as one that was started with the server would.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import Counter, deque
from typing import NamedTuple


class Plan(NamedTuple):
    """What a run does."""

    seconds: float
    calls: bool = False
    fails: bool = False
    counted: bool = False  # the result tells how often its body has run


class Executor:
    def __init__(self, plan, kept=4000, gauges=lambda running: [0.1, running, 0.1, 1]):
        """plan(workload, body) -> Plan."""
        self.plan, self.notices, self.gauges = plan, deque(maxlen=kept), gauges
        self.came, self.number, self.link, self.running, self.replies = time.time(), 0, None, {}, {}
        self.effects, self.calls, self.results = (
            Counter(),
            {},
            {},
        )  # body -> count; call -> body; body -> result
        self.joins = 0

    # ---- the link

    def write(self, message):
        if self.link is not None and not self.link.is_closing():
            self.link.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def tell(self, **message):
        """A numbered notice: kept, and sent where there is a link."""
        self.number += 1
        message["no"] = self.number
        self.notices.append(message)
        self.write(message)

    async def serve(self, reader, writer):
        async for line in reader:
            m = json.loads(line)
            act = getattr(self, "on_" + m["t"].lower(), None)
            if act is None:
                break
            act(m, writer)

    def on_join(self, m, writer):
        before, self.link = self.link, writer
        if before is not None:
            before.close()
        self.joins += 1
        if m["no"] == 0:  # a server that was started anew
            for self.number, notice in enumerate(self.notices, 1):
                notice["no"] = self.number
            self.number = len(self.notices)
        age = 1000 * (time.time() - self.came)
        self.write({"t": "WELCOME", "status": "steady", "time_ms": age})
        for notice in self.notices:
            if notice["no"] > m["no"]:
                self.write(notice)

    def on_exec(self, m, writer):
        call = m["rid"]
        if call not in self.running and call not in self.calls:
            body = base64.b64decode(m["b64"])
            self.calls[call] = body
            self.running[call] = asyncio.get_running_loop().create_task(self.run(call, m["route"], body))

    def on_kill(self, m, writer):
        task = self.running.pop(m["rid"], None)
        if task is not None:
            task.cancel()
            self.replies.pop(m["rid"], None)
            self.tell(t="EXIT", rid=m["rid"], status="interrupted", time_ms=1)

    def on_return(self, m, writer):
        waits = self.replies.get(m["rid"])
        if waits is not None and not waits.done():
            waits.set_result(base64.b64decode(m.get("b64", "")))

    on_bypass = on_return

    def on_meter(self, m, writer):
        self.write({"t": "METERS", "mark": m["mark"], "v": self.gauges(len(self.running))})

    def on_diag(self, m, writer):
        self.write({"t": "DIAGNOSED", "mark": m["mark"], "status": "success"})

    # ---- a run

    async def run(self, call, workload, body):
        """The effect happens as the run begins: one that is stopped half way had it too."""
        began, plan = time.time(), self.plan(workload, body)
        self.effects[workload, body] += 1
        await self.work(call, plan.seconds)
        result = body
        if plan.calls:
            self.replies[call] = asyncio.get_running_loop().create_future()
            self.tell(t="CALLOUT", rid=call, b64=base64.b64encode(b"about " + body).decode())
            result = body + b" " + await self.replies[call]
            del self.replies[call]
        self.running.pop(call, None)
        took = 1000 * (time.time() - began)
        if plan.fails:
            self.tell(t="EXIT", rid=call, status="failure", time_ms=took)
            return
        if plan.counted:
            result = b"%s, run %d" % (result, self.effects[workload, body])
        self.results[workload, body] = result
        self.tell(t="EXIT", rid=call, status="success", time_ms=took, b64=base64.b64encode(result).decode())

    async def work(self, call, seconds):
        """What a run takes of the machine; here there is a core for each."""
        await asyncio.sleep(seconds)

    def close(self):
        for task in self.running.values():
            task.cancel()
