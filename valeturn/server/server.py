"""The server process: connects its components, serves until a termination signal, and shuts down."""

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

# Allocated container objects between two searches of the garbage collector. Few objects here form reference
# cycles, so at most some hundred KB wait to be freed.
GARBAGE_THRESHOLD = 5000
CHECK_PERIOD_S = 0.05  # between checks of all connections: half of the shortest time-out of a connection
# Memory that an operator's file takes: its values, and the libraries of the result store.
OPERATOR_FILE_MB = 3
BYTES_PER_MB = 1e6
EXIT_OK = 0
EXIT_FAILED = 1  # the dispatcher failed while serving


class InterruptedStartError(ValeturnError):
    """A termination signal was received before the server listened, so no request has been read."""


class Server:
    """A server with its connections to gateways, executor, ledger and registry, and its components.

    Attributes:
        configuration: The configuration in use; a reload replaces its reloadable fields.
        options: The options of the operator's file in use, or None without such a file.
        components: The opened components by section of the operator's file.
        failed: Whether the dispatcher failed, which ends the process with `EXIT_FAILED`.
        restart_requested: Whether the process shall replace itself with a new one after the server has ended.
    """

    def __init__(
        self,
        configuration: Configuration,
        log: Log,
        verbose: bool = False,
        read_configuration: ReadConfiguration | None = None,
        options: OperatorConfig | None = None,
        overrides: Overrides | None = None,
    ) -> None:
        """Open the components and connect them to the dispatcher; nothing listens yet.

        Args:
            configuration: The checked configuration.
            log: Logs an event.
            verbose: Whether each answer is logged.
            read_configuration: Reads the configuration and the operator's file again for a reload; None if
                SIGHUP shall change nothing.
            options: The options of the operator's file, or None without such a file.
            overrides: Replacements for files and connections, for tests and the laboratory.

        Raises:
            ConfigurationError: A component can't be opened with its options.
        """
        self.configuration = configuration
        self.log = log
        self.options = options
        self.overrides = overrides or Overrides()
        self.counters = Counters()
        self.failed = False
        self.restart_requested = False
        self.scheduler = Scheduler(on_failure=self._task_failed)
        self.limits = derive(self._max_sockets(), configuration.memory_mb, self._subsystems_mb())
        self._connect(verbose)
        self.shutdown = GracefulShutdown(self)
        self.status = ServerStatus(self)
        read = read_configuration or self._current_configuration
        self.reloader = ConfigurationReloader(
            self.scheduler, read, self.apply_configuration, self.counters, log
        )

    def _current_configuration(
        self, reader_waits: ReaderWaits
    ) -> tuple[Configuration, OperatorConfig | None]:
        return self.configuration, self.options

    def _max_sockets(self) -> int:
        """Return how many file descriptors the configuration and the system allow."""
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        if allowed == resource.RLIM_INFINITY:
            return self.configuration.sockets
        return min(self.configuration.sockets, allowed)

    def _subsystems_mb(self) -> float:
        """Return the memory of the subsystems that the operator's file configures, in MB."""
        if self.options is None:
            return 0.0
        sections = self.options.sections.values()
        return OPERATOR_FILE_MB + sum(getattr(section, "memory", 0) / BYTES_PER_MB for section in sections)

    def _connect(self, verbose: bool) -> None:
        """Create the clients, the gateway server, the components and the dispatcher that uses them."""
        scheduler = self.scheduler
        configuration = self.configuration
        count = self.counters.add
        random_source = SeededRandom(configuration.seed)
        self.executor = ExecutorClient(scheduler, configuration.executor, random_source, self._post, count)
        self.components = self._open_components()
        self.ledger = LedgerClient(scheduler, configuration.ledger, self.limits.calls, self._post, count)
        self.gateways = GatewayServer(
            scheduler, self._post, self._push, configuration.names, self.limits, count
        )
        self.registry = RegistryClient(
            scheduler, configuration.naming, configuration.name, random_source, count
        )
        self.dispatcher = Dispatcher(
            scheduler,
            configuration.names,
            self.limits,
            TurnPacing(scheduler.clock, configuration.cores),
            self._make_controller,
            Collaborators(self.executor, self.ledger, self.gateways, self.registry),
            Instrumentation(count, self.counters.times, self.log),
            getattr(self.components.get("store"), "store", None),
            getattr(self.components.get("level"), "monitor", None),
            getattr(self.components.get("duty"), "call_quota_monitor", None),
        )
        self.dispatcher.trace = self.log if verbose else None

    def _post(self, message: object) -> None:
        self.dispatcher.put(message)

    def _push(self, message: object) -> None:
        self.dispatcher.push(message)

    def _open_components(self) -> dict[str, Component]:
        """Return the opened components by section; without an operator's file their code isn't imported."""
        if self.options is None:
            return {}
        from . import components

        opened: dict[str, Component] = components.open_all(self, self.options)
        return opened

    def _make_controller(self, executor_cold: bool, executor_age: float) -> AdmissionController:
        """Return an admission controller for a connected executor.

        The server warms up if its executor was started cold, or if its settings say so.

        Args:
            executor_cold: Whether the executor reported a cold start.
            executor_age: Seconds since the executor's start.
        """
        settings = self.configuration.names.settings
        warming = settings.starts_cold or executor_cold
        started_at = self.scheduler.clock() - executor_age
        return AdmissionController(
            settings._replace(starts_cold=warming), self.configuration.seed, started_at
        )

    def _task_failed(self, task: Task, error: BaseException) -> None:
        """Count and log a task's exception; end the server if the task was the dispatcher."""
        self.counters.add(f"errors.{task.name}")
        self.log("task_failed", {"task": task.name}, fault=error)
        if task.name == "core":  # without the dispatcher no request would be answered: end the process
            self.scheduler.stop()
            self.failed = True

    def serve(self) -> int:
        """Serve until a termination signal is received and all requests are answered; return the exit code.

        Raises:
            InterruptedStartError: A termination signal was received while the address was still in use.
            OSError: The address can't be listened on.
        """
        if early_signals.termination_requested():
            return self._end_before_listening()
        address = self.configuration.listen
        sock = open_listening_socket(address, self._wait_for_address, self.scheduler.clock)
        self._handle_signals()  # until here early_signals has recorded the termination signals
        self.gateways.listener = Listener(
            self.scheduler, address, self.limits.connections, self.gateways.accept, self.gateways.evict, sock
        )
        self.log("server_listening", {"address": f"{address.host}:{address.port}", **self.limits._asdict()})
        self._start_tasks()
        gc.collect()
        gc.freeze()  # objects that live as long as the process are not searched again
        gc.set_threshold(GARBAGE_THRESHOLD, 10, 10)
        self.scheduler.run()
        self.status.print_counters()
        self.log("server_stopped", {"clean": not self.failed})
        return EXIT_FAILED if self.failed else EXIT_OK

    def _end_before_listening(self) -> int:
        """End at once, because a termination signal was received during the start; return the exit code.

        No request was read, so none is unanswered. The time to the forced end counts from the signal: a
        server that listened now would serve past the drain grace.
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
        """Start the dispatcher, the periodic tasks and the components."""
        self.scheduler.spawn(self.dispatcher.run, name="core", low_priority=True)
        self.scheduler.spawn_supervised(self.check_connections, name="sweep")
        self.scheduler.spawn_supervised(self.status.print_periodically, name="counters")
        for component in self.components.values():
            component.start()

    def _wait_for_address(self, seconds: float) -> None:
        """Block for so many seconds: the previous process may still listen on the address.

        Raises:
            InterruptedStartError: A termination signal has been received.
        """
        if early_signals.termination_requested():
            raise InterruptedStartError
        address = self.configuration.listen
        self.log("address_in_use", {"address": f"{address.host}:{address.port}"})
        time.sleep(seconds)

    def check_connections(self) -> None:
        """Close timed-out gateway connections and check the executor's connection; runs as a task."""
        while True:
            self.gateways.sweep()
            self.executor.check()
            self.scheduler.sleep(CHECK_PERIOD_S)

    def apply_configuration(self, reloaded: Configuration, options: OperatorConfig | None) -> AppliedChanges:
        """Apply changed addresses, and changed sections whose components can apply them without a restart.

        Args:
            reloaded: The configuration as it was read again.
            options: The operator's file as it was read again, or None without such a file.
        """
        previous = self.configuration
        changed = [
            field for field in Configuration._fields if getattr(reloaded, field) != getattr(previous, field)
        ]
        applied = [field for field in changed if field in RELOADABLE]
        need_restart = [field for field in changed if field not in RELOADABLE]
        self.configuration = previous._replace(**{field: getattr(reloaded, field) for field in applied})
        self.executor.set_address(self.configuration.executor)
        self.ledger.set_address(self.configuration.ledger)
        self.registry.set_address(self.configuration.naming)
        if options != self.options and not self._apply_options(options):
            need_restart.append("settings")
        return AppliedChanges(applied, need_restart)

    def _apply_options(self, options: OperatorConfig | None) -> bool:
        """Apply all changed sections, or none if one needs a restart; return whether they were applied."""
        previous = {} if self.options is None else self.options.sections
        reloaded = {} if options is None else options.sections
        changed = [name for name in {**previous, **reloaded} if previous.get(name) != reloaded.get(name)]
        for name in changed:
            if name not in self.components or not self.components[name].can_apply(reloaded.get(name)):
                return False
        for name in changed:
            self.components[name].apply(reloaded.get(name))
        self.options = options
        return True
