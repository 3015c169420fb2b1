"""Commands of duties, each under its guard, which ends it with the lease also where this server can't."""

from __future__ import annotations

import json
import os
import subprocess
import sys

from ..transport.scheduler import READ
from . import limits

GUARD = os.path.join(os.path.dirname(__file__), "process_guard.py")


class Run:
    """One under way."""

    def __init__(self, process, fence):
        self.process, self.fence, self.text = process, fence, b""


def outcome(run):
    """{"code": exit code, or the signal's number below zero, or None; "why"; "tail"}"""
    try:
        said = json.loads(run.text)
        return {"code": said["code"], "why": said["why"], "tail": said["tail"]}
    except (ValueError, KeyError, TypeError):
        return {"code": None, "why": f"its guard ended with {run.process.returncode}", "tail": ""}


class Runs:
    def __init__(self, scheduler, environment, ended):
        """environment: what each command finds beside the server's own. ended(name, outcome): it and all that
        it started are gone."""
        self.scheduler, self.environment, self.ended, self.runs = scheduler, environment, ended, {}

    def __bool__(self):
        return bool(self.runs)

    def start(self, name, command, fence, patience):
        """None, or why it could not be started."""
        environment = {**os.environ, **self.environment, "VALETURN_FENCE": str(fence), "VALETURN_DUTY": name}
        try:
            process = subprocess.Popen(
                [sys.executable, "-I", "-S", GUARD, str(patience), command],
                env=environment,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
        except OSError as error:
            return str(error)
        os.set_blocking(process.stdin.fileno(), False)
        os.set_blocking(process.stdout.fileno(), False)
        self.runs[name] = run = Run(process, fence)
        self.scheduler.spawn(self.follow, name, run, name="duty")
        return None

    def follow(self, name, run):
        """Until its guard has ended: by then the command and all that it started are gone."""
        out = run.process.stdout
        while True:
            self.scheduler.wait_fd(out.fileno(), READ)
            try:
                data = os.read(out.fileno(), 65536)
            except BlockingIOError:
                continue
            if not data:
                break
            run.text = (run.text + data)[-8 * limits.TAIL :]  # the tail as JSON writes it
        self.scheduler.closing(out.fileno())
        out.close()
        self.close(run)
        while run.process.poll() is None:
            self.scheduler.sleep(0.01)
        del self.runs[name]
        self.ended(name, outcome(run))

    def lease(self, acts, until):
        """Tells each guard how long the lease lasts, in s of the boot clock. One whose command is under an
        older number hears nothing more, and so ends it in time. acts(name) -> fence or None."""
        for name, run in self.runs.items():
            if acts(name) == run.fence:
                self.tell(run, b"until %.6f\n" % until)

    def stop(self, name):
        if name in self.runs:
            self.tell(self.runs[name], b"stop\n")

    @staticmethod
    def tell(run, line):
        try:
            os.write(run.process.stdin.fileno(), line)
        except (OSError, ValueError):  # it has ended, or reads nothing: its own clock ends it
            pass

    @staticmethod
    def close(run):
        """The end of the server, as a guard sees it."""
        try:
            run.process.stdin.close()
        except OSError:
            pass

    def close_all(self):
        for run in self.runs.values():
            self.close(run)
