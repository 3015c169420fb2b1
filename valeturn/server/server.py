"""One server: connects its parts, serves until it is told to stop, and ends."""

from __future__ import annotations

import gc
import resource
import signal
import time
from typing import TYPE_CHECKING

from ..admission.controller import AdmissionController
from ..dispatch.dispatcher import Collaborators, Dispatcher, Instrumentation
from ..dispatch.executor_client import ExecutorClient
from ..dispatch.gateway_server import GatewayServer
from ..dispatch.ledger_client import LedgerClient
from ..dispatch.registry_client import RegistryClient
from ..dispatch.turn_pacing import TurnPacing
from ..errors import ValeturnError
from ..transport import early_signals
from ..transport.listener import Listener, open_listening_socket
from ..transport.scheduler import Scheduler, Task
from ..transport.seeded_random import SeededRandom
from ..transport.signals import Signals
from .configuration import RELOADABLE, Configuration
from .counters import Counters
from .reload import AppliedChanges, ConfigurationReloader, ReadConfiguration, ReaderWaits
from .resource_limits import derive
from .shutdown import GracefulShutdown
from .status import ServerStatus
from .test_overrides import Overrides

if TYPE_CHECKING:
    from ..operator_config.schema import OperatorConfig
    from .components import Component
    from .logs import Log

# Objects between searches for reference cycles, which few things here leave: some hundred KB at the most.
GARBAGE_THRESHOLD = 5000
CHECK_PERIOD = 0.05  # s between checks of all connections: half of the shortest time-out of one
LIBRARIES_MB = 3  # memory that an operator's file takes: its values, and the libraries of the result store
BYTES_PER_MB = 1e6
EXIT_OK = 0
EXIT_FAILED = 1  # something failed while serving


class InterruptedStartError(ValeturnError):
    """A termination signal came before the server listened, so no request was ever read."""


class Server:
    """A server with its connections to gateways, executor, ledger and registry, and its components."""

    def __init__(
        self,
        configuration: Configuration,
        log: Log,
        verbose: bool = False,
        read_configuration: ReadConfiguration | None = None,
        options: OperatorConfig | None = None,
        overrides: Overrides | None = None,
    ) -> None:
        """Open the components and connect all parts; nothing listens yet.

        Args:
            configuration: The checked configuration.
            log: Logs an event.
            verbose: Whether each answer is logged.
            read_configuration: Reads the configuration and the operator's file anew; None where SIGHUP is to
                change nothing.
            options: The operator's file, or None.
            overrides: What the laboratory puts in place of the system's own.

        Raises:
            ConfigurationError: A component can't be opened with its options.
        """
        self.configuration = configuration
        self.log = log
        self.options = options
        self.seams = overrides or Overrides()
        self.counters = Counters()
        self.failed = False
        self.restart_requested = (
            False  # the process is to be started anew, in place, once the server has ended
        )
        self.scheduler = Scheduler(on_failure=self._task_failed)
        self.limits = derive(self._sockets(), configuration.memory_mb, self._subsystems_mb())
        self._connect(verbose)
        self.shutdown = GracefulShutdown(self)
        self.status = ServerStatus(self)
        read = read_configuration or self._unchanged_configuration
        self.reloader = ConfigurationReloader(
            self.scheduler, read, self.apply_configuration, self.counters, log
        )

    def _unchanged_configuration(self, waits: ReaderWaits) -> tuple[Configuration, OperatorConfig | None]:
        return self.configuration, self.options

    def _sockets(self) -> int:
        """Return how many descriptors the configuration and the system allow."""
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if allowed == resource.RLIM_INFINITY:
            return self.configuration.sockets
        return min(self.configuration.sockets, allowed)

    def _subsystems_mb(self) -> float:
        if self.options is None:
            return 0.0
        sections = self.options.sections.values()
        return LIBRARIES_MB + sum(getattr(section, "memory", 0) / BYTES_PER_MB for section in sections)

    def _connect(self, verbose: bool) -> None:
        scheduler = self.scheduler
        configuration = self.configuration
        count = self.counters.add
        random = SeededRandom(configuration.seed)
        self.link = ExecutorClient(scheduler, configuration.executor, random, self._post, count)
        self.components = self._open_components()
        self.ledger = LedgerClient(scheduler, configuration.ledger, self.limits.calls, self._post, count)
        self.gateways = GatewayServer(scheduler, self._post, configuration.names, self.limits, count)
        self.reporter = RegistryClient(scheduler, configuration.naming, configuration.name, random, count)
        self.dispatcher = Dispatcher(
            scheduler,
            configuration.names,
            self.limits,
            TurnPacing(scheduler.clock, configuration.cores),
            self._make_controller,
            Collaborators(self.link, self.ledger, self.gateways, self.reporter),
            Instrumentation(count, self.counters.times, self.log),
            getattr(self.components.get("store"), "store", None),
            getattr(self.components.get("level"), "monitor", None),
            getattr(self.components.get("duty"), "sharing", None),
        )
        self.dispatcher.trace = self.log if verbose else None

    def _post(self, message: object) -> None:
        self.dispatcher.put(message)

    def _open_components(self) -> dict[str, Component]:
        """Return the components by section; without an operator's file none of their code is loaded."""
        if self.options is None:
            return {}
        from . import components

        opened: dict[str, Component] = components.open_all(self, self.options)
        return opened

    def _make_controller(self, executor_cold: bool, executor_age: float) -> AdmissionController:
        """Return an admission controller for an executor that started so many seconds ago.

        A server warms up if its executor was just started cold, or its settings say so.
        """
        settings = self.configuration.names.settings
        warming = settings.starts_cold or executor_cold
        started_at = self.scheduler.clock() - executor_age
        return AdmissionController(
            settings._replace(starts_cold=warming), self.configuration.seed, started_at
        )

    def _task_failed(self, task: Task, error: BaseException) -> None:
        self.counters.add(f"errors.{task.name}")
        self.log("task_failed", {"task": task.name}, fault=error)
        if task.name == "core":  # nothing can be decided any more: end, rather than keep callers waiting
            self.scheduler.stop()
            self.failed = True

    def serve(self) -> int:
        """Serve until a termination signal has come and all is answered; return the exit code.

        Raises:
            InterruptedStartError: A termination signal came while the address was still in use.
            OSError: The address can't be listened on.
        """
        if early_signals.termination_requested():
            return self._end_before_listening()
        address = self.configuration.listen
        # Signals are only recorded until this has returned.
        sock = open_listening_socket(address, self._wait_for_address, self.scheduler.clock)
        self._handle_signals()
        self.gateways.listener = Listener(
            self.scheduler, address, self.limits.connections, self.gateways.accept, self.gateways.evict, sock
        )
        self.log("server_listening", {"address": f"{address.host}:{address.port}", **self.limits._asdict()})
        self._start_tasks()
        gc.collect()
        gc.freeze()  # what lives as long as the process is not searched again
        gc.set_threshold(GARBAGE_THRESHOLD, 10, 10)
        self.scheduler.run()
        self.status.print_counters()
        self.log("server_stopped", {"clean": not self.failed})
        return EXIT_FAILED if self.failed else EXIT_OK

    def _end_before_listening(self) -> int:
        """End at once: a termination signal came during the start, and its time runs since then.

        Nothing was read, so that nothing is owed. To listen now would be to serve past the grace.
        """
        self.log("shutdown_started", {"timeout_s": self.configuration.stop})
        self.log("server_stopped", {"clean": True})
        return EXIT_OK

    def _handle_signals(self) -> None:
        actions = {
            signal.SIGTERM: self.shutdown.begin,
            signal.SIGINT: self.shutdown.begin,
            signal.SIGHUP: self.reloader.request,
            signal.SIGUSR1: self.status.print_counters,
        }
        Signals(self.scheduler, actions)

    def _start_tasks(self) -> None:
        self.scheduler.spawn(self.dispatcher.run, name="core", low_priority=True)
        self.scheduler.spawn_supervised(self.check_connections, name="sweep")
        self.scheduler.spawn_supervised(self.status.print_periodically, name="counters")
        for component in self.components.values():
            component.start()

    def _wait_for_address(self, seconds: float) -> None:
        """Wait for a process that has just ended and may still hold the address.

        Raises:
            InterruptedStartError: A termination signal has come.
        """
        if early_signals.termination_requested():
            raise InterruptedStartError
        address = self.configuration.listen
        self.log("address_in_use", {"address": f"{address.host}:{address.port}"})
        time.sleep(seconds)

    def check_connections(self) -> None:
        """Close connections whose time is over and test the link to the executor; runs as a task."""
        while True:
            self.gateways.sweep()
            self.link.check()
            self.scheduler.sleep(CHECK_PERIOD)

    def apply_configuration(self, fresh: Configuration, options: OperatorConfig | None) -> AppliedChanges:
        """Take over the addresses of other parties and what components can change while they run."""
        old = self.configuration
        changed = [field for field in Configuration._fields if getattr(fresh, field) != getattr(old, field)]
        moved = [field for field in changed if field in RELOADABLE]
        need_restart = [field for field in changed if field not in RELOADABLE]
        self.configuration = old._replace(**{field: getattr(fresh, field) for field in moved})
        self.link.set_address(self.configuration.executor)
        self.ledger.set_address(self.configuration.ledger)
        self.reporter.set_address(self.configuration.naming)
        if options != self.options and not self._apply_options(options):
            need_restart.append("settings")
        return AppliedChanges(moved, need_restart)

    def _apply_options(self, options: OperatorConfig | None) -> bool:
        """Hand changed sections to their components: all of them, or none where one needs a restart."""
        old = {} if self.options is None else self.options.sections
        new = {} if options is None else options.sections
        changed = [name for name in {**old, **new} if old.get(name) != new.get(name)]
        for name in changed:
            if name not in self.components or not self.components[name].can_apply(new.get(name)):
                return False
        for name in changed:
            self.components[name].apply(new.get(name))
        self.options = options
        return True
