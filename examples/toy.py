"""Stands in for the executor, the ledger and the name service, with the laboratory's parts.

    python examples/toy.py [EXECUTOR LEDGER NAMING]

The three addresses default to those of examples/config.json. A run "works" a tenth of a second, makes one
call where its workload's name is in CALLS, and returns its body with the reply behind it.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from valeturn.lab.executor import Executor, Plan  # noqa: E402
from valeturn.lab.services import ledger, listen, naming  # noqa: E402

ADDRESSES = ("127.0.0.1:7300", "127.0.0.1:5432", "127.0.0.1:7946")
CALLS, WORK = ("quote", "file"), 0.1


async def main(addresses):
    executor = Executor(lambda workload, body: Plan(WORK, workload in CALLS))
    said = naming(lambda line: print(f"naming: {line}", flush=True))
    for address, serve in zip(addresses, (executor.serve, ledger, said)):
        host, _, port = address.rpartition(":")
        await listen(serve, (host, int(port)))
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main(sys.argv[1:] or ADDRESSES))
    except KeyboardInterrupt:
        pass
