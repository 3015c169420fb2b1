"""A server that ends itself with SIGKILL at a chosen point of its work on the disk.

    python -m valeturn.lab.victim CONFIG SETTINGS POINT

POINT = OPERATION:COUNT[:SHARE]: before the COUNT-th write, sync, create, rename, remove or sync_folder; a
write first puts down that SHARE of its bytes; `synced` dies right after a sync.
"""

from __future__ import annotations

import os
import signal
import sys

from ..result_store.directory import StoreDirectory
from ..server.commands import serve
from ..server.test_overrides import Overrides


class Deadly(StoreDirectory):
    def __init__(self, folder, point):
        super().__init__(folder)
        what, count, *share = point.split(":")
        self.what, self.left, self.share = what, int(count), float(share[0]) if share else 0.0

    def meet(self, what):
        if what == self.what:
            self.left -= 1
            return self.left == 0
        return False

    def write(self, file, data):
        if self.meet("write"):
            os.write(self.open[file], data[: int(self.share * len(data))])
            die()
        super().write(file, data)

    def sync(self, file):
        if self.meet("sync"):
            die()
        super().sync(file)
        if self.meet("synced"):
            die()


def die():
    os.kill(os.getpid(), signal.SIGKILL)


def _deadly(name):
    plain = getattr(StoreDirectory, name)

    def call(self, *args):
        if self.meet(name):
            die()
        return plain(self, *args)

    return call


for _name in ("create", "rename", "remove", "sync_folder"):
    setattr(Deadly, _name, _deadly(_name))


def main(config, settings, point):
    folder = next(
        line.partition("=")[2].strip()
        for line in open(settings, encoding="utf-8")
        if line.startswith("folder")
    )
    return serve(config, settings=settings, overrides=Overrides(files=Deadly(folder, point)))


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
