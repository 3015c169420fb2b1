"""One real server: puts the parts together, serves until told to leave, drains, ends."""

from __future__ import annotations

import gc
import resource
import signal

from .. import __version__
from ..routing.core import Core
from ..routing.executor import ExecutorLink
from ..routing.gateways import Gateways
from ..routing.ledger import Ledger
from ..routing.messages import DiskNews, Leaving, Told
from ..routing.naming import Reporter
from ..routing.pace import Pace
from ..rules import Rules
from ..transport.chance import Chance
from ..transport.listener import Listener
from ..transport.scheduler import Scheduler
from ..transport.signals import Signals
from ..transport.streams import Stream
from .bounds import derive
from .configuration import MOVABLE, Configuration, Wrong
from .counters import Counters

GARBAGE = 5000  # objects between looks for cycles, which few things here leave: some hundred KB at the most
PRINT = 10.0  # s between prints of the counters: a server that is killed outright leaves its last ones
MARGIN = 0.15  # s before the stop at which the process ends itself: the last answers are out by then
LOOK = 0.05  # s between looks at all connections: half of the shortest patience with one
STEP = 0.02  # s between looks while draining
CLOSING = 1.0  # s that the store has at the end for what still waits for the disk
LIBRARIES_MB = 3  # that an operator's file takes: what keeps its values, and the store's libraries
PATIENCE = 10.0  # s for the process that reads the operator's file: it takes a tenth of one


def make_reducing(scheduler, levels, names, count, log):
    from ..levels.options import make
    from ..routing.reduced import Reducing

    return Reducing(scheduler.clock(), make(levels, names), names.settings, count, log)


def open_store(scheduler, options, files, names, put, count, log):
    """Loads and opens the store. Raises Wrong where its folder can't be used."""
    from ..store import bounds, clock
    from ..store.files import Files
    from ..store.helper import Helper
    from ..store.kept import Kept
    from ..store.recovery import Refused

    files = files or Files(options.folder)
    boot_id = clock.boot_id()
    limits = bounds.derive(options.disk, options.memory, options.segment)
    longest = max([w.window for w in names.settings.workloads], default=0.0) + 2 * names.settings.tick
    try:
        if not files.prepare():
            raise Wrong(f"store: {options.folder}: another process has it")
        kept = Kept(options, limits, files, Helper(), lambda: clock.read(boot_id), longest, count, log)
    except (Refused, OSError) as error:
        raise Wrong(f"store: {options.folder}: {error}") from None
    log("store_opened", {**kept.figures(), "records_read": kept.found.records})
    return kept


class Server:
    def __init__(self, configuration, log, verbose=False, reload=None, options=None, files=None):
        """`reload` reads the configuration and the operator's file anew, or raises what is wrong with them;
        it is given what receives from a socket while the loop goes on."""
        c = self.configuration = configuration
        self.read_again = reload
        self.log, self.counters = log, Counters()
        count = self.counters.add
        self.scheduler = scheduler = Scheduler(on_failure=self.task_failed)
        chance = Chance(c.seed)
        put = lambda message: self.core.put(message)  # noqa: E731
        self.link = ExecutorLink(scheduler, c.executor, chance, put, count)
        sockets = min(c.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.options = options
        store = options.get("store") if options is not None else None
        taken = (LIBRARIES_MB if options else 0.0) + (store.memory / 1e6 if store else 0.0)
        bounds = self.bounds = derive(sockets, c.memory_mb, taken)
        self.kept = None if store is None else open_store(scheduler, store, files, c.names, put, count, log)
        self.ledger = Ledger(scheduler, c.ledger, bounds.calls, put, count)
        self.gateways = Gateways(scheduler, put, c.names, bounds, count)
        self.reporter = Reporter(scheduler, c.naming, c.name, chance, count)
        levels = options.get("level") if options is not None else None
        self.reducing = None if levels is None else make_reducing(scheduler, levels, c.names, count, log)
        self.core = Core(scheduler, c.names, bounds, Pace(scheduler.clock, c.cores), self.make_rules,
                         self.link, self.ledger, self.gateways, self.reporter, count,
                         self.counters.times, log, self.kept, self.reducing)
        self.core.trace = log if verbose else None
        self.leave_at = self.stop_at = None
        self.came = scheduler.clock()

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
        Signals(scheduler, {signal.SIGTERM: self.leave, signal.SIGINT: self.leave, signal.SIGHUP: self.reload,
                            signal.SIGUSR1: lambda: self.counters.print(self.log, scheduler, self.beliefs())})
        self.gateways.listener = Listener(scheduler, c.listen, self.bounds.connections, self.gateways.accept,
                                          self.gateways.make_room)
        self.log("listening", {"address": f"{c.listen[0]}:{c.listen[1]}", **self.bounds._asdict()})
        scheduler.spawn(self.core.run, name="core", late=True)
        scheduler.spawn(self.sweep, name="sweep")
        scheduler.spawn(self.print_counters, name="counters")
        if self.kept is not None:
            scheduler.spawn(self.hear_the_disk, name="disk")
        self.open_control()
        self.open_metrics()
        gc.collect()
        gc.freeze()  # what lives as long as the process is not looked through again
        gc.set_threshold(GARBAGE, 10, 10)
        scheduler.run()
        self.counters.print(self.log, scheduler, self.beliefs())
        self.log("ended", {"clean": not self.failed})
        return 1 if self.failed else 0

    def open_control(self):
        options = self.options.get("control") if self.options is not None else None
        if options is not None:
            from ..control.server import Control, InUse

            try:
                self.control = Control(self.scheduler, options.socket, self.answer_control, self.counters.add)
            except (InUse, OSError) as error:  # a server without its control socket serves all the same
                self.counters.add("control.not_open")
                self.log("control_not_open", {"socket": options.socket, "why": str(error)})

    control = metrics = None

    def open_metrics(self):
        options = self.options.get("metrics") if self.options is not None else None
        if options is not None:
            from ..metrics.text import Metrics

            self.metrics = Metrics(self.status)
            self.scheduler.spawn(self.write_metrics, options, name="metrics")

    def write_metrics(self, options):
        while True:
            try:
                self.metrics.write(options.file)
                self.counters.add("metrics.written")
            except OSError as error:
                self.counters.add("metrics.failed")
                self.log("metrics_not_written", {"file": options.file, "why": str(error)})
            self.scheduler.sleep(options.every)

    def hear_the_disk(self):
        """Tells the owner of the module that the store's helper has done something."""
        stream = Stream(self.scheduler, self.kept.helper.end)
        while isinstance(stream.read(), bytes):
            self.core.put(DiskNews())

    def status(self):
        """What an operator is told of this server at the moment."""
        groups, now = self.counters.groups(), self.scheduler.clock()
        return {"name": self.configuration.name, "version": __version__, "up_s": now - self.came,
                "leaving": self.leave_at is not None, "beliefs": self.beliefs(), "out": groups.get("out", {}),
                "counters": groups, "times_ms": self.counters.times.means(),
                "level": None if self.reducing is None else self.reducing.figures(now)}

    def answer_control(self, request):
        """Nothing about submissions is decided through it: a level is held as a condition would enter it."""
        from ..control import requests

        if isinstance(request, requests.Status):
            return requests.good(status=self.status())
        if isinstance(request, requests.Metrics):
            if self.metrics is None:
                return requests.refused("no metrics are configured")
            return requests.good(text=self.metrics.text().decode())
        if self.reducing is None:
            return requests.refused("no levels are configured")
        now = self.scheduler.clock()
        if isinstance(request, requests.Hold):
            told = self.reducing.hold(now, request.level, request.seconds)
            why = f"no level {request.level}"
        else:
            told, why = self.reducing.free(now), "no level is held by hand"
        if told is None:
            return requests.refused(why)
        for event in told:
            self.core.mailbox.push(Told(event))
        return requests.good()

    def sweep(self):
        while True:
            self.gateways.sweep()
            self.scheduler.sleep(LOOK)

    def print_counters(self):
        while True:
            self.scheduler.sleep(PRINT)
            self.counters.print(self.log, self.scheduler, self.beliefs())
            if self.reducing is not None:
                self.log("count", {"group": "level", **self.reducing.figures(self.scheduler.clock())})

    def beliefs(self):
        """What this server holds to be so at the moment, to be compared with what crosses the sockets."""
        connections = self.gateways.connections
        return {**self.core.beliefs(), "calls_out": len(self.ledger.out), "connections": len(connections),
                "connections_in_use": sum(bool(one.open) for one in connections),
                "report_age_s": self.scheduler.clock() - self.reporter.reported_at,
                "link_up": int(self.link.up), "cpu_share": self.core.pace.share,
                **({} if self.kept is None else {"kept_" + k: v for k, v in self.kept.figures().items()})}

    def leave(self):
        if self.leave_at is None:
            self.leave_at = self.scheduler.clock()
            self.stop_at = self.leave_at + self.configuration.stop
            self.log("leaving", {"stop_in": self.configuration.stop})
            self.scheduler.spawn(self.drain, name="drain")

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
        if options != self.options and not self.take_levels(options):
            changed.append("settings")
        self.counters.add("reload.taken")
        self.log("reloaded", {"moved": ",".join(moved) or "nothing",
                              "wants_restart": ",".join(f for f in changed if f not in moved) or "nothing"})

    def take_levels(self, options):
        """True where nothing but the levels has changed, and they are taken over."""
        old, new = self.options, options
        if self.reducing is None or new is None or not new.get("level"):
            return False
        if {k: v for k, v in old.sections.items() if k != "level"} != {
                k: v for k, v in new.sections.items() if k != "level"}:
            return False
        from ..levels.options import make

        self.reducing.decision.put(make(new.get("level"), self.configuration.names))
        self.core.put(Told(self.reducing.event()))  # what the present level gives up may have changed
        self.options = new
        return True

    def receive(self, sock):
        """All bytes up to the end of a socket."""
        stream, parts = Stream(self.scheduler, sock), []
        while isinstance(got := stream.read(PATIENCE), bytes):
            parts.append(got)
        stream.close()
        return b"".join(parts)

    def drain(self):
        """Serves on through the grace, then takes nothing new; ends when all is answered and all gateways
        have closed, so that nothing on its way is cut off, or shortly before the stop."""
        now = self.scheduler.clock
        self.core.put(Leaving(self.stop_at - MARGIN - now()))  # the module must be done before the process is
        grace = min(self.configuration.names.settings.drain_grace, self.configuration.stop - 2 * MARGIN)
        self.scheduler.sleep(self.leave_at + grace - now())
        self.gateways.listener.close()
        self.gateways.ask_all_to_close()
        while now() < self.stop_at - MARGIN:
            if not self.gateways.connections and not self.core.owed():
                break
            self.scheduler.sleep(STEP)
        if self.control is not None:
            self.control.close()
        self.log("drained", {"connections": len(self.gateways.connections), "owed": self.core.owed(),
                             "took": now() - self.leave_at})
        self.scheduler.stop()
        if self.kept is not None:
            left = max(0.01, self.stop_at - MARGIN / 2 - now())
            self.log("store_closed", {"whole": self.kept.close(min(CLOSING, left)), **self.kept.figures()})

