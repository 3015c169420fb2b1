"""Case 1: a deduplicated request whose start was lost with the executor link runs twice. See claim.txt."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from harness import Executor, Gateway, Record, Server, platform  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "booking-7f3a9c21"
BOOKING_BODY = b"book phone 12 at 14:00"
CHECK_WORK_S, BOOKING_WORK_S = 0.04, 0.5
CHECKS_PER_S = 22  # 88 % of the one core
RETRY_AFTER_S = 2.1  # the client asks once more by itself, through another gateway
LOAD_FOR_S = 3.2
SETTINGS = {
    "servers": 1,
    "tick_ms": 5.0,
    "counted_by": "work",
    "request_classes": [
        {"name": "device-check", "semantics": "safe", "goal_time_ms": 1800, "give_up_ms": 6100, "worth": 1},
        {
            "name": "run-booking",
            "semantics": "keyed",
            "window_ms": 36726,
            "goal_time_ms": 6400,
            "give_up_ms": 12000,
            "late_share": 0.2,
            "worth": 5,
        },
    ],
    "rules": {
        "cold_ms": 18000,
        "drain_grace_ms": 2000,
        "grace_to_answer_ms": 60,
        "overload_factor": 8,
        "start_capacity": 0.28,
    },
    "allowed": {"retry_after": True, "max_retry_after_ms": 1000},
    "domain": {
        "cpus": 1,
        "heap_kb": 8000,
        "run_mem_factor": 8,
        "key_kb": 1,
        "halt": "drop",
        "say": "off",
        "cold": False,
        "passes_deadline": True,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
    },
}


async def play(record, folder) -> int:
    """Play the case; return 1 if the booking ran more than once, 0 if not, 2 if the case could not run."""
    lost = []

    def lose_start(route, body):
        if TROUBLE and route == "run-booking" and not lost:
            lost.append(body)
            return True
        return False

    executor = Executor(record, 1, lambda body: BOOKING_WORK_S if body == BOOKING_BODY else CHECK_WORK_S)
    executor.lose_start = lose_start
    ports = await platform(record, executor)
    store = f"[store]\nfolder = {folder / 'kept'}\ndisk = 64 MB\nmemory = 8 MB\nsegment = 4 MB\n"
    server = Server(record, folder, "n1", SETTINGS, store, **ports)
    await server.start()
    try:
        await server.until_healthy()
        first, second, checks = (Gateway(record, f"gateway {n}", n) for n in (1, 2, 3))
        for gateway in (first, checks):
            await gateway.connect(server.port)
        loop = asyncio.get_running_loop()
        began = loop.time()
        count, retried = 0, False
        first.send("booking", "run-booking", BOOKING_BODY, 1000 * BOOKING_WORK_S, ttl="12000", dedupe=KEY)
        while (elapsed := loop.time() - began) < LOAD_FOR_S:
            if not retried and elapsed >= RETRY_AFTER_S:
                retried = True
                await second.connect(server.port)
                second.send(
                    "booking again",
                    "run-booking",
                    BOOKING_BODY,
                    1000 * BOOKING_WORK_S,
                    ttl="9000",
                    dedupe=KEY,
                )
            if count < elapsed * CHECKS_PER_S:
                count += 1
                checks.send(
                    f"filler {count}",
                    "device-check",
                    b"check %d" % count,
                    1000 * CHECK_WORK_S,
                    quiet=True,
                    ttl="6100",
                )
            await asyncio.sleep(0.002)
        await asyncio.sleep(9.5)  # past the due time of both tries
    finally:
        await server.end()
    runs = [rid for rid, route, _ in executor.started if route == "run-booking"]
    kinds = [answers[0][0] for answers in checks.answers.values()]
    record(f"device checks: {count} sent, { {kind: kinds.count(kind) for kind in sorted(set(kinds))} }")
    record(f"run-booking under the key {KEY}: run {len(runs)} times: {runs}")
    if bool(lost) != TROUBLE or not runs:
        record("the case could not run: the disruption or every run is missing")
        return 2
    record("RULE BROKEN: one key ran twice in its window" if len(runs) > 1 else "the rule held")
    return int(len(runs) > 1)


def main() -> int:
    """Run the case in a temporary folder."""
    record = Record(HERE / "record.txt")
    record(f"TROUBLE={int(TROUBLE)}")
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(asyncio.wait_for(play(record, pathlib.Path(folder)), 100))
    except Exception as error:  # whatever keeps the case from running must not look like a broken rule
        record(f"the case could not run: {error!r}")
        return 2


if __name__ == "__main__":
    sys.exit(main())
