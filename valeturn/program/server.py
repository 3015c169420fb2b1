"""One real server: puts the parts together, serves until told to leave, drains, ends."""

from __future__ import annotations

import gc
import resource
import signal

from ..routing.core import Core
from ..routing.executor import ExecutorLink
from ..routing.gateways import Gateways
from ..routing.ledger import Ledger
from ..routing.messages import Leaving
from ..routing.naming import Reporter
from ..rules import Rules
from ..transport.chance import Chance
from ..transport.listener import Listener
from ..transport.scheduler import Scheduler
from ..transport.signals import Signals
from .counters import Counters

CALLS = 128  # at once to the ledger: far over a server's share, which the module keeps
RESERVE = 48  # descriptors for the executor, the name service, signals, the log and what Python opens
PRINT = 10.0  # s between prints of the counters: a server that is killed outright leaves its last ones
MARGIN = 0.15  # s before the stop at which the process ends itself: the last answers are out by then
STEP = 0.02  # s between looks while draining


class Server:
    def __init__(self, configuration, log, verbose=False):
        c = self.configuration = configuration
        self.log, self.counters = log, Counters()
        count = self.counters.add
        self.scheduler = scheduler = Scheduler(on_failure=self.task_failed)
        chance = Chance(c.seed)
        put = lambda message: self.core.put(message)  # noqa: E731
        self.link = ExecutorLink(scheduler, c.executor, chance, put, count)
        sockets = min(c.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.ledger = Ledger(scheduler, c.ledger, min(CALLS, sockets // 4), put, count)
        self.room = sockets - self.ledger.most - RESERVE  # for gateways
        self.gateways = Gateways(scheduler, put, c.names.workloads.__contains__, count, log)
        self.reporter = Reporter(scheduler, c.naming, c.name, chance, count)
        self.core = Core(scheduler, c.names, self.make_rules, self.link, self.ledger, self.gateways,
                         self.reporter, count, self.counters.times, log)
        self.core.trace = log if verbose else None
        self.leave_at = self.stop_at = None

    def make_rules(self, cold, age):
        """A server is cold if its executor was just started cold or its settings say so; warmth counts from
        the executor's start."""
        settings = self.configuration.names.settings
        return Rules(settings._replace(cold=settings.cold or cold), self.configuration.seed,
                     self.scheduler.clock() - age)

    def task_failed(self, task, error):
        self.counters.add("errors." + task.name)
        self.log("task_failed", {"task": task.name}, fault=error)
        if task.name == "core":  # nothing can be decided any more: end, rather than hold callers up
            self.scheduler.stop()
            self.failed = True

    failed = False

    def serve(self):
        c, scheduler = self.configuration, self.scheduler
        Signals(scheduler, {signal.SIGTERM: self.leave, signal.SIGINT: self.leave,
                            signal.SIGUSR1: lambda: self.counters.print(self.log, scheduler)})
        self.gateways.listener = Listener(scheduler, c.listen, self.room, self.gateways.accept)
        self.log("listening", {"address": f"{c.listen[0]}:{c.listen[1]}", "connections": self.room})
        scheduler.spawn(self.core.run, name="core", late=True)
        scheduler.spawn(self.close_unused, name="unused")
        scheduler.spawn(self.print_counters, name="counters")
        gc.collect()
        gc.freeze()  # what lives as long as the process is not looked through again
        scheduler.run()
        self.counters.print(self.log, scheduler)
        self.log("ended", {"clean": not self.failed})
        return 1 if self.failed else 0

    def close_unused(self):
        while True:
            self.gateways.close_idle()
            self.gateways.bound_unsent()
            self.scheduler.sleep(0.05 if self.gateways.idle_after else 0.5)

    def print_counters(self):
        while True:
            self.scheduler.sleep(PRINT)
            self.counters.print(self.log, self.scheduler)

    def leave(self):
        if self.leave_at is None:
            self.leave_at = self.scheduler.clock()
            self.stop_at = self.leave_at + self.configuration.stop
            self.log("leaving", {"stop_in": self.configuration.stop})
            self.scheduler.spawn(self.drain, name="drain")

    def drain(self):
        """Serves on through the grace, then takes nothing new; ends when all is answered and all gateways
        have closed, so that nothing on its way is cut off, or shortly before the stop."""
        now = self.scheduler.clock
        self.core.put(Leaving(self.stop_at - now()))
        grace = min(self.configuration.names.settings.drain_grace, self.configuration.stop - 2 * MARGIN)
        self.scheduler.sleep(self.leave_at + grace - now())
        self.gateways.listener.close()
        self.gateways.ask_all_to_close()
        while now() < self.stop_at - MARGIN:
            if not self.gateways.connections and not any(not sub.answered for sub in self.core.open.values()):
                break
            self.scheduler.sleep(STEP)
        self.log("drained", {"connections": len(self.gateways.connections), "open": len(self.core.open),
                             "took": now() - self.leave_at})
        self.scheduler.stop()

