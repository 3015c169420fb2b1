"""A stand-in executor that outlives the server and counts how often each effect happened.

The protocol specification leaves open what a running executor sends to a server that has just started. This
one numbers its notices from 1 again and sends the kept ones first, so that the server learns of runs that
ended before its restart. With `kept=0` it forgets them, as an executor that started with the server would.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import Counter, deque
from typing import NamedTuple


class Plan(NamedTuple):
    """What one run does."""

    seconds: float  # its duration, without the call
    calls: bool = False  # it calls the ledger
    fails: bool = False
    counted: bool = False  # the result says how often its body has run


class Executor:
    """Serves the executor link: runs submissions and reports their ends."""

    def __init__(self, plan, kept=4000, gauges=lambda running: [0.1, running, 0.1, 1]):
        """Set up an executor without a link.

        Args:
            plan: Called with the workload and the body of a run; returns its Plan.
            kept: How many notices are kept for a server that joins again.
            gauges: Called with the number of runs; returns the values of the gauges.
        """
        self.plan, self.notices, self.gauges = plan, deque(maxlen=kept), gauges
        self.started_at, self.number, self.link, self.running, self.replies = time.time(), 0, None, {}, {}
        # (workload, body) -> count; submission id -> body; (workload, body) -> result
        self.effects, self.calls, self.results = Counter(), {}, {}
        self.joins = 0

    # ---- the link

    def write(self, message):
        """Send one message, if there is a link."""
        if self.link is not None and not self.link.is_closing():
            self.link.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def send_notice(self, **message):
        """Number and keep a notice, and send it if there is a link."""
        self.number += 1
        message["no"] = self.number
        self.notices.append(message)
        self.write(message)

    async def serve(self, reader, writer):
        """Handle the messages of one link until it ends or an unknown message arrives."""
        async for line in reader:
            message = json.loads(line)
            handler = getattr(self, "on_" + message["t"].lower(), None)
            if handler is None:
                break
            handler(message, writer)

    def on_join(self, message, writer):
        """Make this link the current one and send the notices that the server has not seen."""
        before, self.link = self.link, writer
        if before is not None:
            before.close()
        self.joins += 1
        if message["no"] == 0:  # a server that has just started
            for self.number, notice in enumerate(self.notices, 1):
                notice["no"] = self.number
            self.number = len(self.notices)
        age = 1000 * (time.time() - self.started_at)
        self.write({"t": "WELCOME", "status": "steady", "time_ms": age})
        for notice in self.notices:
            if notice["no"] > message["no"]:
                self.write(notice)

    def on_exec(self, message, writer):
        """Start a run, unless its submission id was seen before."""
        call = message["rid"]
        if call not in self.running and call not in self.calls:
            body = base64.b64decode(message["b64"])
            self.calls[call] = body
            self.running[call] = asyncio.get_running_loop().create_task(
                self.run(call, message["route"], body)
            )

    def on_kill(self, message, writer):
        """Cancel a run and report it as interrupted."""
        task = self.running.pop(message["rid"], None)
        if task is not None:
            task.cancel()
            self.replies.pop(message["rid"], None)
            self.send_notice(t="EXIT", rid=message["rid"], status="interrupted", time_ms=1)

    def on_return(self, message, writer):
        """Pass the ledger's reply to the run that waits for it; a bypassed call has an empty reply."""
        pending_reply = self.replies.get(message["rid"])
        if pending_reply is not None and not pending_reply.done():
            pending_reply.set_result(base64.b64decode(message.get("b64", "")))

    on_bypass = on_return

    def on_meter(self, message, writer):
        """Send the gauges."""
        self.write({"t": "METERS", "mark": message["mark"], "v": self.gauges(len(self.running))})

    def on_diag(self, message, writer):
        """Answer a health check."""
        self.write({"t": "DIAGNOSED", "mark": message["mark"], "status": "success"})

    # ---- a run

    async def run(self, call, workload, body):
        """Run one submission; the effect happens at the start, so a run that is cancelled has had it, too."""
        began, plan = time.time(), self.plan(workload, body)
        self.effects[workload, body] += 1
        await self.work(call, plan.seconds)
        result = body
        if plan.calls:
            self.replies[call] = asyncio.get_running_loop().create_future()
            self.send_notice(t="CALLOUT", rid=call, b64=base64.b64encode(b"about " + body).decode())
            result = body + b" " + await self.replies[call]
            del self.replies[call]
        self.running.pop(call, None)
        took = 1000 * (time.time() - began)
        if plan.fails:
            self.send_notice(t="EXIT", rid=call, status="failure", time_ms=took)
            return
        if plan.counted:
            result = b"%s, run %d" % (result, self.effects[workload, body])
        self.results[workload, body] = result
        self.send_notice(
            t="EXIT", rid=call, status="success", time_ms=took, b64=base64.b64encode(result).decode()
        )

    async def work(self, call, seconds):
        """Take the time of a run; here each run has a core of its own."""
        await asyncio.sleep(seconds)

    def close(self):
        """Cancel all runs."""
        for task in self.running.values():
            task.cancel()
