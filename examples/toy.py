"""Runs an example executor, ledger and name service, with the laboratory's implementations.

    python examples/toy.py [EXECUTOR LEDGER NAMING]

The three addresses default to those of examples/config.json. A run takes a tenth of a second, makes one call
if its workload is in CALLING_WORKLOADS, and returns its body followed by the call's reply.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from valeturn.lab.executor import Executor, Plan  # noqa: E402
from valeturn.lab.services import ledger, listen, naming  # noqa: E402

ADDRESSES = ("127.0.0.1:7300", "127.0.0.1:5432", "127.0.0.1:7946")
CALLING_WORKLOADS, RUN_TIME_S = ("quote", "file"), 0.1


async def main(addresses):
    executor = Executor(lambda workload, body: Plan(RUN_TIME_S, workload in CALLING_WORKLOADS))
    name_service = naming(lambda line: print(f"naming: {line}", flush=True))
    for address, serve in zip(addresses, (executor.serve, ledger, name_service)):
        host, _, port = address.rpartition(":")
        await listen(serve, (host, int(port)))
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main(sys.argv[1:] or ADDRESSES))
    except KeyboardInterrupt:
        pass
