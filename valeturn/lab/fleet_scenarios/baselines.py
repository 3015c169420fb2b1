"""Baseline policies with the interface of the admission controller, for comparison on the same demand."""

from __future__ import annotations

import importlib.util
import pathlib

from ...admission import interface

RUNS_PER_CORE, QUEUE_PER_CORE = 2, 4  # a plain worker pool with a short queue
SWEEP_INTERVAL_S = 0.1  # seconds, the controller's own timer interval
GIVE_UP_BEFORE_DEADLINE_S = 0.3  # seconds before its deadline at which a submission is given up


class Pool:
    """A worker pool: first in, first out, two runs and four queued per core; calls are made at once, once."""

    def __init__(self, settings, seed, now):
        self.settings, self.queued, self.running, self.drain_started_at, self.stop_at = (
            settings,
            {},
            {},
            None,
            None,
        )
        self.timer_set = False

    def decide(self, now, events):
        """Return the actions for these events, as AdmissionController.decide does."""
        actions = (
            [] if self.timer_set else [interface.Health(True, True), interface.SetTimer(SWEEP_INTERVAL_S, 0)]
        )
        self.timer_set = True
        for event in events:
            if isinstance(event, interface.Arrived):
                self.admit(now, event, actions)
            elif isinstance(event, interface.Ended):
                self.running.pop(event.id, None)
            elif isinstance(event, interface.CallerGone):
                if self.queued.pop(event.id, None) is None and event.id in self.running:
                    actions.append(interface.Interrupt(event.id))
            elif isinstance(event, interface.CallRequested):
                actions.append(
                    interface.Call(
                        event.id,
                        max(0.05, min(2.0, self.running[event.id][0] - now - GIVE_UP_BEFORE_DEADLINE_S)),
                    )
                )
            elif (
                isinstance(event, interface.CallEnded)
                and event.outcome is not interface.Outcome.DONE
                and event.id in self.running
            ):
                workload_settings = self.settings.workloads[self.running[event.id][1]]
                actions.append(
                    interface.BypassCall(event.id)
                    if workload_settings.degraded_value_share
                    else interface.Fail(event.id)
                )
            elif isinstance(event, interface.DrainStarted):
                self.drain_started_at, self.stop_at = now, now + event.time_left
            elif isinstance(event, interface.TimerFired):
                self.give_up_late(now, actions)
        while self.queued and len(self.running) < RUNS_PER_CORE * self.settings.cores:
            first = next(iter(self.queued))
            self.running[first] = self.queued.pop(first)
            actions.append(interface.Start(first))
        return actions

    def admit(self, now, event, actions):
        """Queue a submission, or reject it when the queue is full or the drain grace is over."""
        late = (
            self.drain_started_at is not None
            and now - event.waited > self.drain_started_at + self.settings.drain_grace - self.settings.tick
        )
        if late or len(self.queued) >= QUEUE_PER_CORE * self.settings.cores:
            actions.append(interface.Reject(event.id, 0.0, False))
        else:
            self.queued[event.id] = (now + event.time_left, event.workload)

    def give_up_late(self, now, actions):
        """Reject what is queued and fail what runs too close to its deadline or to the stop."""
        latest_deadline, stops = (
            now + GIVE_UP_BEFORE_DEADLINE_S,
            self.stop_at is not None and now + GIVE_UP_BEFORE_DEADLINE_S >= self.stop_at,
        )
        for number, (deadline, _) in list(self.queued.items()):
            if deadline <= latest_deadline or stops:
                del self.queued[number]
                actions.append(interface.Reject(number, 0.0, False))
        for number, (deadline, workload) in list(self.running.items()):
            if deadline <= latest_deadline or stops:
                self.running[number] = (float("inf"), workload)
                actions += [interface.Fail(number), interface.Interrupt(number)]


def find_policy(name):
    """Return the policy's name to print and its factory.

    `name` is `module` (the current admission controller), `pool`, or the path of a Python file that defines
    an earlier AdmissionController.
    """
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
