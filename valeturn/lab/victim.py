"""Run a server that ends itself with SIGKILL at a chosen disk operation of its store.

    python -m valeturn.lab.victim CONFIG SETTINGS POINT

POINT is OPERATION:COUNT[:SHARE]. The process ends before the COUNT-th write, sync, create, rename, remove or
sync_folder. A write first writes that SHARE of its bytes; the operation `synced` is the moment after a sync.
"""

from __future__ import annotations

import os
import signal
import sys

from ..result_store.directory import StoreDirectory
from ..server.commands import serve
from ..server.test_overrides import Overrides


class SelfKillingDirectory(StoreDirectory):
    """The store's directory, which kills its process at the chosen point."""

    def __init__(self, folder, point):
        super().__init__(folder)
        operation, count, *share = point.split(":")
        self.operation, self.remaining, self.share = operation, int(count), float(share[0]) if share else 0.0

    def reaches(self, operation):
        """Count down the operations of the chosen kind; return whether the point is reached."""
        if operation == self.operation:
            self.remaining -= 1
            return self.remaining == 0
        return False

    def write(self, file, data):
        """Write, or write a part and end the process."""
        if self.reaches("write"):
            os.write(self.open[file], data[: int(self.share * len(data))])
            kill_self()
        super().write(file, data)

    def sync(self, file):
        """Sync, or end the process before or after it."""
        if self.reaches("sync"):
            kill_self()
        super().sync(file)
        if self.reaches("synced"):
            kill_self()


def kill_self():
    """End this process with SIGKILL."""
    os.kill(os.getpid(), signal.SIGKILL)


def _killing_before(name):
    """Return a method that ends the process before the named operation when the point is reached."""
    original = getattr(StoreDirectory, name)

    def call(self, *args):
        if self.reaches(name):
            kill_self()
        return original(self, *args)

    return call


for _operation in ("create", "rename", "remove", "sync_folder"):
    setattr(SelfKillingDirectory, _operation, _killing_before(_operation))


def main(config, settings, point):
    """Serve with the store's folder replaced; return the exit code."""
    folder = next(
        line.partition("=")[2].strip()
        for line in open(settings, encoding="utf-8")
        if line.startswith("folder")
    )
    return serve(config, settings=settings, overrides=Overrides(files=SelfKillingDirectory(folder, point)))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
