"""Plainer policies with the module's way to be called, to hold it against."""

from __future__ import annotations

import importlib.util
import pathlib

from ...admission import interface

RUNS, WAITING = 2, 4  # a core: a plain pool with a short queue
SWEEP = 0.1  # s, as often as the module looks
LAST = 0.3  # s before a due time at which what waits is given up


class Pool:
    """Arrival order, two runs and four waiting a core; calls at once and once; nothing else is known."""

    def __init__(self, settings, seed, now):
        self.s, self.held, self.running, self.leave_at, self.stop_at = settings, {}, {}, None, None
        self.awake = False

    def decide(self, now, events):
        out = [] if self.awake else [interface.Health(True, True), interface.SetTimer(SWEEP, 0)]
        self.awake = True
        for e in events:
            if isinstance(e, interface.Arrived):
                self.arrived(now, e, out)
            elif isinstance(e, interface.Ended):
                self.running.pop(e.id, None)
            elif isinstance(e, interface.CallerGone):
                if self.held.pop(e.id, None) is None and e.id in self.running:
                    out.append(interface.Interrupt(e.id))
            elif isinstance(e, interface.CallRequested):
                out.append(interface.Call(e.id, max(0.05, min(2.0, self.running[e.id][0] - now - LAST))))
            elif (
                isinstance(e, interface.CallEnded)
                and e.outcome is not interface.Outcome.DONE
                and e.id in self.running
            ):
                w = self.s.workloads[self.running[e.id][1]]
                out.append(interface.BypassCall(e.id) if w.degraded_value_share else interface.Fail(e.id))
            elif isinstance(e, interface.DrainStarted):
                self.leave_at, self.stop_at = now, now + e.time_left
            elif isinstance(e, interface.TimerFired):
                self.sweep(now, out)
        while self.held and len(self.running) < RUNS * self.s.cores:
            first = next(iter(self.held))
            self.running[first] = self.held.pop(first)
            out.append(interface.Start(first))
        return out

    def arrived(self, now, e, out):
        late = self.leave_at is not None and now - e.waited > self.leave_at + self.s.drain_grace - self.s.tick
        if late or len(self.held) >= WAITING * self.s.cores:
            out.append(interface.Reject(e.id, 0.0, False))
        else:
            self.held[e.id] = (now + e.time_left, e.workload)

    def sweep(self, now, out):
        last, stops = now + LAST, self.stop_at is not None and now + LAST >= self.stop_at
        for number, (due, _) in list(self.held.items()):
            if due <= last or stops:
                del self.held[number]
                out.append(interface.Reject(number, 0.0, False))
        for number, (due, workload) in list(self.running.items()):
            if due <= last or stops:
                self.running[number] = (float("inf"), workload)
                out += [interface.Fail(number), interface.Interrupt(number)]


def policy(name):
    """(a name to print, what makes the rules): `module`, `pool`, or a file that holds an earlier module."""
    if name == "module":
        from ...admission.controller import AdmissionController

        return name, AdmissionController
    if name == "pool":
        return name, Pool
    path = pathlib.Path(name)
    spec = importlib.util.spec_from_file_location("valeturn.rules_held_against", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return path.name, module.AdmissionController
