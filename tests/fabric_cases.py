"""Runs test cases on fleets of server processes, several at a time, as they mostly wait."""

import asyncio
import traceback

from valeturn.lab.fault_injection.fault_runner import VIOLATION_KEYS
from valeturn.lab.fault_injection.fleet import Fleet

MAX_CONCURRENT_FLEETS = 4  # concurrent fleets: a dozen servers, which eight cores start in a second
EFFECT = "[duty effect]\ndo = run\ncommand = {effect}\nmost = 1 h\npatience = 100 ms\nfenced = number\n"


class Broken(AssertionError):
    """A violated guarantee that does not depend on the machine's speed."""


def nothing_broken(fleet):
    """Return the checker's findings; raise Broken where one must never happen."""
    found = fleet.check_history()
    if any(found[key] for key in VIOLATION_KEYS):
        raise Broken(found)
    return found


class Cases:
    def __init__(self):
        self.cases = {}

    def __call__(self, **fleet_options):
        """Return a decorator that registers a case with the options of its Fleet."""

        def register(function):
            self.cases[function.__name__] = function, fleet_options
            return function

        return register

    async def run_case(self, name, slots, folders):
        """Run one case; return None, or whether a guarantee was violated, and the traceback with the logs."""
        function, fleet_options = self.cases[name]
        async with slots:
            fleet = Fleet(
                folders.mktemp("f") / "f",
                fleet_options.get("count", 3),
                1,
                **{
                    "singleton_tasks": EFFECT,
                    **{key: value for key, value in fleet_options.items() if key != "count"},
                },
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

    async def run_all(self, folders):
        slots = asyncio.Semaphore(MAX_CONCURRENT_FLEETS)
        found = await asyncio.gather(*(self.run_case(name, slots, folders) for name in self.cases))
        results = dict(zip(self.cases, found))
        for name, failure in results.items():
            if failure is not None and not failure[0]:
                results[name] = await self.run_case(name, slots, folders)
        return results

    def play(self, folders):
        """Return for each case None, or whether a guarantee was violated, and the traceback.

        A case that failed otherwise, possibly for lack of time beside the others, is repeated once, alone; a
        violated guarantee does not depend on time and is final."""
        return asyncio.run(self.run_all(folders))
