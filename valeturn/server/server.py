"""One real server: puts the parts together, serves until told to leave, drains, ends."""

from __future__ import annotations

import gc
import resource
import signal
import time

from .. import __version__
from ..admission.controller import Rules
from ..dispatch.dispatcher import Core, Parties, Telling
from ..dispatch.executor_client import ExecutorLink
from ..dispatch.gateway_server import CLOSING, Gateways
from ..dispatch.ledger_client import Ledger
from ..dispatch.messages import Leaving, Stopping
from ..dispatch.registry_client import Reporter
from ..dispatch.turn_pacing import Pace
from ..transport import early_signals
from ..transport.listener import Listener, listening
from ..transport.scheduler import Scheduler
from ..transport.seeded_random import Chance
from ..transport.signals import Signals
from ..transport.streams import Stream
from .configuration import MOVABLE, Configuration, Wrong
from .counters import Counters
from .resource_limits import derive
from .test_overrides import Seams

GARBAGE = 5000  # objects between looks for cycles, which few things here leave: some hundred KB at the most
PRINT = 10.0  # s between prints of the counters: a server that is killed outright leaves its last ones
MARGIN = 0.15  # s before the stop at which all is answered: the last answers are out by then
MARGIN_SHARE = 0.25  # of the time from the notice to the stop that it takes at the most, where that is short
LOOK = 0.05  # s between looks at all connections: half of the shortest patience with one
STEP = 0.01  # s between looks while draining
LIBRARIES_MB = 3  # that an operator's file takes: what keeps its values, and the store's libraries
PATIENCE = 10.0  # s for the process that reads the operator's file: it takes a tenth of one


class Ended(Exception):
    """Told to leave before it listened."""


class Server:
    def __init__(self, configuration, log, verbose=False, reload=None, options=None, seams=None):
        """`reload` reads the configuration and the operator's file anew, or raises what is wrong with them;
        it is given what receives from a socket while the loop goes on."""
        c = configuration
        self.configuration = configuration
        self.read_again = reload
        self.log, self.counters = log, Counters()
        count = self.counters.add
        self.scheduler = scheduler = Scheduler(on_failure=self.task_failed)
        chance = Chance(c.seed)
        put = lambda message: self.core.put(message)  # noqa: E731
        self.link = ExecutorLink(scheduler, c.executor, chance, put, count)
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = c.sockets if most == resource.RLIM_INFINITY else min(c.sockets, most)
        self.options, self.seams = options, seams or Seams()
        taken = (
            0.0
            if options is None
            else LIBRARIES_MB + sum(getattr(built, "memory", 0) / 1e6 for built in options.sections.values())
        )
        bounds = self.bounds = derive(sockets, c.memory_mb, taken)
        self.parts = self.open_parts()
        self.ledger = Ledger(scheduler, c.ledger, bounds.calls, put, count)
        self.gateways = Gateways(scheduler, put, c.names, bounds, count)
        self.reporter = Reporter(scheduler, c.naming, c.name, chance, count)
        self.core = Core(
            scheduler,
            c.names,
            bounds,
            Pace(scheduler.clock, c.cores),
            self.make_rules,
            Parties(self.link, self.ledger, self.gateways, self.reporter),
            Telling(count, self.counters.times, log),
            getattr(self.parts.get("store"), "kept", None),
            getattr(self.parts.get("level"), "reducing", None),
            getattr(self.parts.get("duty"), "sharing", None),
        )
        self.core.trace = log if verbose else None
        self.leave_at = self.stop_at = None
        self.margin = min(MARGIN, MARGIN_SHARE * c.stop)
        self.reloading = self.wants_reload = False
        self.came = scheduler.clock()

    def open_parts(self):
        """section -> its part; without an operator's file none of their code is loaded."""
        if self.options is None:
            return {}
        from . import components

        return components.open_all(self, self.options)

    def make_rules(self, cold, age):
        """A server is cold if its executor was just started cold or its settings say so; warmth counts from
        the executor's start."""
        settings = self.configuration.names.settings
        return Rules(
            settings._replace(cold=settings.cold or cold),
            self.configuration.seed,
            self.scheduler.clock() - age,
        )

    def task_failed(self, task, error):
        self.counters.add("errors." + task.name)
        self.log("task_failed", {"task": task.name}, fault=error)
        if task.name == "core":  # nothing can be decided any more: end, rather than hold callers up
            self.scheduler.stop()
            self.failed = True

    failed = False
    again = False  # it is to be started anew, in place, once it has ended

    def serve(self):
        c, scheduler = self.configuration, self.scheduler
        sock = listening(c.listen, self.wait_for_address, scheduler.clock)  # signals are held until then
        Signals(
            scheduler,
            {
                signal.SIGTERM: self.leave,
                signal.SIGINT: self.leave,
                signal.SIGHUP: self.reload_apart,
                signal.SIGUSR1: lambda: self.counters.print(self.log, scheduler, self.beliefs()),
            },
        )
        self.gateways.listener = Listener(
            scheduler, c.listen, self.bounds.connections, self.gateways.accept, self.gateways.evict, sock
        )
        self.log("listening", {"address": f"{c.listen[0]}:{c.listen[1]}", **self.bounds._asdict()})
        scheduler.spawn(self.core.run, name="core", late=True)
        scheduler.spawn_lasting(self.sweep, name="sweep")
        scheduler.spawn_lasting(self.print_counters, name="counters")
        for part in self.parts.values():
            part.start()
        gc.collect()
        gc.freeze()  # what lives as long as the process is not looked through again
        gc.set_threshold(GARBAGE, 10, 10)
        scheduler.run()
        self.counters.print(self.log, scheduler, self.beliefs())
        self.log("ended", {"clean": not self.failed})
        return 1 if self.failed else 0

    def wait_for_address(self, seconds):
        """A process that has just gone may still hold it. A notice to leave ends the wait and the server:
        nobody was ever let in."""
        if early_signals.leaving():
            raise Ended
        self.log("address_in_use", {"address": "%s:%d" % self.configuration.listen})
        time.sleep(seconds)

    def status(self):
        """What an operator is told of this server at the moment."""
        groups, now = self.counters.groups(), self.scheduler.clock()
        return {
            "name": self.configuration.name,
            "version": __version__,
            "up_s": now - self.came,
            "leaving": self.leave_at is not None,
            "beliefs": self.beliefs(),
            "out": groups.get("out", {}),
            "counters": groups,
            "times_ms": self.counters.times.means(),
            "level": None,
            **{key: value for part in self.parts.values() for key, value in part.status().items()},
        }

    def sweep(self):
        while True:
            self.gateways.sweep()
            self.link.check()
            self.scheduler.sleep(LOOK)

    def print_counters(self):
        while True:
            self.scheduler.sleep(PRINT)
            self.counters.print(self.log, self.scheduler, self.beliefs())
            for part in self.parts.values():
                for group, figures in part.counts().items():
                    self.log("count", {"group": group, **figures})

    def beliefs(self):
        """What this server holds to be so at the moment, to be compared with what crosses the sockets."""
        connections = self.gateways.connections
        return {
            **self.core.beliefs(),
            "calls_out": len(self.ledger.out),
            "connections": len(connections),
            "connections_in_use": sum(bool(one.open) for one in connections),
            "report_age_s": self.scheduler.clock() - self.reporter.reported_at,
            "link_up": int(self.link.up),
            "cpu_share": self.core.pace.share,
            **{key: value for part in self.parts.values() for key, value in part.beliefs().items()},
        }

    def leave(self):
        if self.leave_at is None:
            self.leave_at = self.scheduler.clock()
            self.stop_at = self.leave_at + self.configuration.stop
            self.log("leaving", {"stop_in": self.configuration.stop})
            # Whatever comes in between: a process that is still there at the stop is killed, which is worse.
            self.scheduler.call_later(self.configuration.stop - self.margin / 4, self.scheduler.stop)
            self.scheduler.spawn(self.drain, name="drain")
        for part in self.parts.values():
            part.leaving()

    def reload_apart(self):
        """In a task of its own: an operator's file is read by a process beside, and a notice to leave is
        heard meanwhile. Two in a row are one: the file is read after the last."""
        self.wants_reload = True
        if not self.reloading:
            self.reloading = True
            self.scheduler.spawn(self.reload_all, name="reload")

    def reload_all(self):
        try:
            while self.wants_reload:
                self.wants_reload = False
                self.reload()
        finally:
            self.reloading = False

    def reload(self):
        """Takes the addresses of other parties from the file; what else changed in it waits for a restart. A
        file that can't be used changes nothing."""
        try:
            fresh, options = self.read_again(self.receive)
        except Wrong as wrong:
            self.counters.add("reload.refused")
            self.log("reload_refused", {"why": str(wrong)})
            return
        old = self.configuration
        changed = [field for field in Configuration._fields if getattr(fresh, field) != getattr(old, field)]
        moved = [field for field in changed if field in MOVABLE]
        self.configuration = old._replace(**{field: getattr(fresh, field) for field in moved})
        self.link.move(self.configuration.executor)
        self.ledger.move(self.configuration.ledger)
        self.reporter.move(self.configuration.naming)
        if options != self.options and not self.take_sections(options):
            changed.append("settings")
        self.counters.add("reload.taken")
        self.log(
            "reloaded",
            {
                "moved": ",".join(moved) or "nothing",
                "wants_restart": ",".join(f for f in changed if f not in moved) or "nothing",
            },
        )

    def take_sections(self, options):
        """True where all sections that changed are carried out by their parts; else none is."""
        old, new = [{} if one is None else one.sections for one in (self.options, options)]
        changed = [name for name in {**old, **new} if old.get(name) != new.get(name)]
        if not all(name in self.parts and self.parts[name].takes(new.get(name)) for name in changed):
            return False
        for name in changed:
            self.parts[name].take(new.get(name))
        self.options = options
        return True

    def receive(self, sock):
        """All bytes up to the end of a socket."""
        stream, parts = Stream(self.scheduler, sock), []
        while isinstance(got := stream.read(PATIENCE), bytes):
            parts.append(got)
        stream.close()
        return b"".join(parts)

    def drain(self):
        """Graceful: serves on through the grace, then takes nothing new; ends when all is answered and all
        gateways have closed, so that nothing on its way is cut off, or shortly before the stop."""
        now, margin = self.scheduler.clock, self.margin
        last = self.stop_at - margin
        self.core.put(Leaving(last - now()))  # the module must be done before the process is
        grace = max(
            0.0, min(self.configuration.names.settings.drain_grace, self.configuration.stop - 2 * margin)
        )
        self.scheduler.sleep(self.leave_at + grace - now())
        self.gateways.ask_all_to_close(min(CLOSING, max(0.0, 0.5 * (last - now()))))
        self.gateways.listener.drain(last)
        while now() < last and (self.gateways.connections or self.core.owed()):
            self.scheduler.sleep(min(STEP, last - now()))
        self.core.put(Stopping())
        while self.core.owed() and now() < last + margin / 4:
            self.scheduler.pause()
        self.gateways.close_all(margin / 2)
        while self.gateways.connections and now() < last + margin / 2:
            self.scheduler.sleep(min(STEP, margin / 8))
        for part in self.parts.values():
            part.drained()
        self.log(
            "drained",
            {
                "connections": len(self.gateways.connections),
                "owed": self.core.owed(),
                "took": now() - self.leave_at,
            },
        )
        self.scheduler.stop()
        for part in self.parts.values():
            part.close(max(0.01, self.stop_at - margin / 2 - now()))
