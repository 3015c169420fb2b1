"""Runs the commands of singleton tasks, each under a guard process that ends it with the lease.

The guard (process_guard.py) ends its command even if this server is stopped, slow or has ended.
"""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
from collections.abc import Callable, Mapping
from typing import IO, cast

from ..transport.scheduler import READ, Scheduler
from . import limits
from .singleton_tasks import CommandOutcome

GUARD_PROGRAM = os.path.join(os.path.dirname(__file__), "process_guard.py")
# Bytes kept of the guard's result: its JSON line escapes a byte of output in up to 8 characters.
RESULT_BYTES = 8 * limits.OUTPUT_TAIL
# Bytes read from a guard at once: the capacity of a Linux pipe.
READ_BYTES = 65536
# Seconds between checks whether a guard that closed its output has ended, which it does immediately.
EXIT_CHECK_INTERVAL_S = 0.01


class GuardedCommand:
    """One running command: its guard process, its fencing token and the guard's report."""

    def __init__(self, process: subprocess.Popen[bytes], fencing_token: int) -> None:
        self.process = process
        self.fencing_token = fencing_token
        self.result = b""
        # Both are pipes: see TaskProcesses.start.
        self.guard_input = cast(IO[bytes], process.stdin)
        self.guard_output = cast(IO[bytes], process.stdout)

    def outcome(self) -> CommandOutcome:
        """Return how the command ended, or that its guard ended without a readable result."""
        try:
            result = json.loads(self.result)
            return CommandOutcome(result["code"], result["why"], result["tail"])
        except (ValueError, KeyError, TypeError):
            return CommandOutcome.without_exit_code(f"its guard ended with {self.process.returncode}")

    def send(self, line: bytes) -> None:
        """Send one line to the guard."""
        # A guard that can't be reached ends its command when the lease that it knows expires.
        with contextlib.suppress(OSError, ValueError):
            os.write(self.guard_input.fileno(), line)

    def close_input(self) -> None:
        """Close the guard's input, which means the end of the server to it."""
        with contextlib.suppress(OSError):
            self.guard_input.close()


class TaskProcesses:
    """All running commands, by the name of their task; at most one per task."""

    def __init__(
        self,
        scheduler: Scheduler,
        environment: Mapping[str, str],
        on_end: Callable[[str, CommandOutcome], None],
    ) -> None:
        """Start without any command.

        Args:
            scheduler: runs the tasks that wait for the guards.
            environment: variables of each command in addition to the server's own.
            on_end: called with a task's name once its command and all processes it started have ended.
        """
        self.scheduler = scheduler
        self.environment = environment
        self.on_end = on_end
        self.running: dict[str, GuardedCommand] = {}

    def start(
        self, name: str, command: str, fencing_token: int, grace_period: float
    ) -> CommandOutcome | None:
        """Start a command, and return its outcome only where it could not be started.

        Args:
            name: the command's task.
            command: the command line for the shell.
            fencing_token: the value of VALETURN_FENCE for the command.
            grace_period: seconds from TERM to KILL.
        """
        environment = {
            **os.environ,
            **self.environment,
            "VALETURN_FENCE": str(fencing_token),
            "VALETURN_DUTY": name,
        }
        try:
            process = subprocess.Popen(
                [sys.executable, "-I", "-S", GUARD_PROGRAM, str(grace_period), command],
                env=environment,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
        except OSError as error:
            return CommandOutcome.without_exit_code(str(error))
        guarded = GuardedCommand(process, fencing_token)
        os.set_blocking(guarded.guard_input.fileno(), False)
        os.set_blocking(guarded.guard_output.fileno(), False)
        self.running[name] = guarded
        self.scheduler.spawn(self._follow, name, guarded, name="singleton task")
        return None

    def extend_leases(self, fencing_token_of: Callable[[str], int | None], lease_end: float) -> None:
        """Announce the end of the lease to each guard, in seconds of the boot clock.

        A command with an older fencing token than its task has now is skipped, so that its guard ends it when
        the lease that was announced last is over.
        """
        for name, guarded in self.running.items():
            if fencing_token_of(name) == guarded.fencing_token:
                guarded.send(b"until %.6f\n" % lease_end)

    def stop(self, name: str) -> None:
        """Instruct the guard of a task's command, if it is running, to end it."""
        if name in self.running:
            self.running[name].send(b"stop\n")

    def close_all(self) -> None:
        """End all commands at once."""
        for guarded in self.running.values():
            guarded.close_input()

    def _follow(self, name: str, guarded: GuardedCommand) -> None:
        """Wait until a guard has ended, and with it the command and all processes it started."""
        self._read_result(guarded)
        guarded.close_input()
        while guarded.process.poll() is None:
            self.scheduler.sleep(EXIT_CHECK_INTERVAL_S)
        del self.running[name]
        self.on_end(name, guarded.outcome())

    def _read_result(self, guarded: GuardedCommand) -> None:
        output = guarded.guard_output
        while True:
            self.scheduler.wait_fd(output.fileno(), READ)
            try:
                data = os.read(output.fileno(), READ_BYTES)
            except BlockingIOError:
                continue
            if not data:
                break
            guarded.result = (guarded.result + data)[-RESULT_BYTES:]
        self.scheduler.detach_fd(output.fileno())
        output.close()
