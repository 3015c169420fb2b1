"""Runs one command of a singleton task and ends it with the lease, whatever happens to the server.

This is a program of its own, started as `python -I -S process_guard.py GRACE_PERIOD COMMAND`, so that a
server that is stopped, slow or gone does not leave its command running. It imports the standard library only.

Standard input carries lines: `until SECONDS` gives the end of the lease by the boot clock, `stop` ends the
command. The guard sends TERM early enough that the grace period fits before the end of the lease, then KILL,
to all processes that the command started, also those that left its process group. End of input means that
the server has ended: the command is killed immediately.

Standard output carries one JSON line at the end: `code` (exit code, or the negated signal number), `why`, and
`tail`, the end of the command's output.
"""

import contextlib
import ctypes
import json
import os
import select
import signal
import subprocess
import sys
import time
from collections.abc import Iterable

# Bytes kept of the command's output: the same as in cluster/limits.py, which is not imported here.
OUTPUT_TAIL_BYTES = 2000
# Fraction of the lease last announced, before its end, at which all is killed; as in task_options.py.
KILL_MARGIN = 0.15
# Seconds between checks: a tenth of the time for ending the command at the shortest lease.
CHECK_INTERVAL_S = 0.02
# Seconds that a command may run before the first lease is announced: the server announces it at the start.
INITIAL_LEASE_S = 1.0
# Bytes read from a pipe at once: the capacity of a Linux pipe.
READ_BYTES = 65536
STANDARD_INPUT = 0
# Options of prctl(2).
PR_SET_CHILD_SUBREAPER = 36
PR_SET_PDEATHSIG = 1


def boot_time() -> float:
    """Return the seconds since boot, including suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def live_children_by_parent() -> dict[int, list[int]]:
    """Return the ids of each process's children, from /proc, without zombies."""
    children: dict[int, list[int]] = {}
    for entry in os.listdir("/proc"):
        if not entry.isdigit():
            continue
        try:
            with open(f"/proc/{entry}/stat", "rb") as file:
                state, parent = file.read().rpartition(b")")[2].split()[:2]
        except OSError:  # the process has ended
            continue
        if state != b"Z":
            children.setdefault(int(parent), []).append(int(entry))
    return children


def descendants_of(roots: Iterable[int]) -> list[int]:
    """Return all live descendants of these processes.

    Processes that left the process group are included: when their parent ends they become children of this
    process, which is a subreaper.
    """
    children = live_children_by_parent()
    found: list[int] = []
    to_visit = list(roots)
    while to_visit:
        below = children.get(to_visit.pop(), [])
        found.extend(below)
        to_visit.extend(below)
    return found


def signal_descendants(number: int) -> bool:
    """Send a signal to all processes that the command started; return whether there were any."""
    processes = descendants_of([os.getpid()])
    for process in processes:
        with contextlib.suppress(OSError):  # the process has ended
            os.kill(process, number)
    return bool(processes)


def ignore_signal(*_: object) -> None:
    """Ignore a signal: only the server ends this program."""


def start_command(command: str, output: int) -> subprocess.Popen[bytes]:
    """Start the command in a session of its own, with its output going to a descriptor."""
    libc = ctypes.CDLL(None, use_errno=True)
    libc.prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        # A handler in place of SIG_IGN, which the command would inherit.
        signal.signal(number, ignore_signal)
    return subprocess.Popen(
        ["/bin/sh", "-c", command],
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=output,
        start_new_session=True,
        preexec_fn=lambda: libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0),
        restore_signals=True,
    )


class ProcessGuard:
    """One command, the lease under which it runs, and the deadlines for ending it.

    All timestamps and durations are in seconds of the boot clock.
    """

    def __init__(self, grace_period: float, command: str) -> None:
        self.grace_period = grace_period
        self.output, command_end = os.pipe()
        self.child = start_command(command, command_end)
        os.close(command_end)
        self.poller = select.poll()
        self.poller.register(STANDARD_INPUT, select.POLLIN)
        self.poller.register(self.output, select.POLLIN)
        self.output_tail = b""
        self.partial_line = b""
        self.lease_end = boot_time() + INITIAL_LEASE_S
        self.lease_received_at = boot_time()
        # Both are None until the command has to end.
        self.term_at: float | None = None
        self.kill_at: float | None = None
        self.term_sent = False
        self.reason = "ended"
        self.exit_code: int | None = None

    def run(self) -> None:
        """Guard the command until it and all its descendants have ended, then print the result."""
        while True:
            for descriptor, _ in self.poller.poll(1000 * CHECK_INTERVAL_S):
                self.receive(descriptor)
            now = boot_time()
            self.check_lease(now)
            self.send_due_signals(now)
            self.reap()
            if self.exit_code is not None:
                if not descendants_of([os.getpid()]):
                    break
                self.end_remaining_processes(now)
        self.drain_output()
        tail = self.output_tail.decode(errors="replace")[-OUTPUT_TAIL_BYTES:]
        print(json.dumps({"code": self.exit_code, "why": self.reason, "tail": tail}), flush=True)

    def receive(self, descriptor: int) -> None:
        """Read lines from the server, or output of the command."""
        data = os.read(descriptor, READ_BYTES)
        if not data:
            self.poller.unregister(descriptor)
            if descriptor == STANDARD_INPUT:
                self.end_command("server gone", boot_time(), boot_time())
        elif descriptor == self.output:
            self.append_output(data)
        else:
            *lines, self.partial_line = (self.partial_line + data).split(b"\n")
            for line in lines:
                self.receive_line(line)

    def receive_line(self, line: bytes) -> None:
        """Handle one line from the server."""
        keyword, _, value = line.partition(b" ")
        if keyword == b"until":
            self.lease_end = float(value)
            self.lease_received_at = boot_time()
        elif keyword == b"stop" and self.term_at is None:
            self.end_command("told to stop", boot_time(), boot_time() + self.grace_period)

    def append_output(self, data: bytes) -> None:
        """Append to the command's output, of which only the end is kept."""
        self.output_tail = (self.output_tail + data)[-OUTPUT_TAIL_BYTES:]

    def end_command(self, reason: str, term_at: float, kill_at: float) -> None:
        """Set the reason and the times for ending the command."""
        self.reason = reason
        self.term_at = term_at
        self.kill_at = kill_at

    def last_kill_time(self) -> float:
        """Return the latest time to kill all processes so that none outlives the lease."""
        return self.lease_end - KILL_MARGIN * max(0.0, self.lease_end - self.lease_received_at)

    def check_lease(self, now: float) -> None:
        """Begin to end the command before the lease expires, and keep KILL within the lease."""
        last_kill_time = self.last_kill_time()
        if self.kill_at is None and now >= last_kill_time - self.grace_period:
            self.end_command("lease over", now, min(now + self.grace_period, last_kill_time))
        if self.kill_at is not None and self.term_at is not None:
            self.kill_at = min(self.kill_at, max(self.term_at, last_kill_time))

    def send_due_signals(self, now: float) -> None:
        """Send TERM once, and KILL in each round once it is due."""
        if self.kill_at is None:
            return
        if now >= self.kill_at:
            signal_descendants(signal.SIGKILL)
        elif not self.term_sent:
            self.term_sent = signal_descendants(signal.SIGTERM)

    def reap(self) -> None:
        """Reap all ended processes, also those that this subreaper inherited."""
        while True:
            try:
                process, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                return
            if process == 0:
                return
            if process == self.child.pid:
                self.exit_code = os.waitstatus_to_exitcode(status)
                self.child.returncode = self.exit_code

    def end_remaining_processes(self, now: float) -> None:
        """End the processes that the command left behind when it ended by itself."""
        if self.term_at is None:
            time_left = max(0.0, self.last_kill_time() - now)
            self.end_command(self.reason, now, now + min(self.grace_period, time_left))

    def drain_output(self) -> None:
        """Read the remaining output of the command."""
        while select.select([self.output], [], [], 0)[0]:
            data = os.read(self.output, READ_BYTES)
            if not data:
                return
            self.append_output(data)


if __name__ == "__main__":
    ProcessGuard(float(sys.argv[1]), sys.argv[2]).run()
