"""Plays cases with several processes of the program, a few at a time: most of their time is waiting."""

import asyncio
import traceback

from valeturn.lab.fault_injection.fault_runner import VIOLATION_KEYS
from valeturn.lab.fault_injection.fleet import Fleet

AT_ONCE = 4  # fleets side by side: a dozen servers, which eight cores start in a second
EFFECT = "[duty effect]\ndo = run\ncommand = {effect}\nmost = 1 h\npatience = 100 ms\nfenced = number\n"


class Broken(AssertionError):
    """What must hold however slow the machine is."""


def nothing_broken(fleet):
    found = fleet.check_history()
    if any(found[key] for key in VIOLATION_KEYS):
        raise Broken(found)
    return found


class Cases:
    def __init__(self):
        self.cases = {}

    def __call__(self, **how):
        """Decorates a case; how: of the Fleet."""

        def kept(function):
            self.cases[function.__name__] = function, how
            return function

        return kept

    async def one(self, name, places, folders):
        function, how = self.cases[name]
        async with places:
            fleet = Fleet(
                folders.mktemp("f") / "f",
                how.get("count", 3),
                1,
                **{"singleton_tasks": EFFECT, **{k: v for k, v in how.items() if k != "count"}},
            )
            try:
                await fleet.start()
                await function(fleet)
                return None
            except Exception as error:
                logs = "\n".join(
                    f"--- {server.name}\n" + "\n".join(server.path("log").read_text().splitlines()[-25:])
                    for server in fleet.servers.values()
                )
                return isinstance(error, Broken), traceback.format_exc() + logs
            finally:
                await fleet.close()

    async def every(self, folders):
        places = asyncio.Semaphore(AT_ONCE)
        found = await asyncio.gather(*(self.one(name, places, folders) for name in self.cases))
        out = dict(zip(self.cases, found))
        for name, wrong in out.items():
            if wrong is not None and not wrong[0]:
                out[name] = await self.one(name, places, folders)
        return out

    def play(self, folders):
        """name -> None, or (whether what must never happen did, what went wrong). What only came too late
        beside the others is played once more, alone; what must never happen is no matter of time."""
        return asyncio.run(self.every(folders))
