"""The commands `valeturn status`, `metrics` and `level` against a running server."""

import asyncio
import json
import os
import pathlib
import subprocess

from program_support import command

from valeturn.lab import restarts

CONTROL_METRICS_AND_LEVEL = """
[control]
socket = {socket}
[metrics]
file = {socket}.prom
every = 1 s
[level slim]
rank = 1
enter = cores.busy > 99 % for 60 s
leave = cores.busy < 50 %
turn_back = quote
"""


def test_running_server_reports_status_and_metrics_and_holds_a_level(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "c.sock")
    lane = restarts.Lane(tmp_path / "lane", 1, 1, 0)

    async def run_commands() -> None:
        await lane.set_up()
        lane.settings.write_text(lane.settings.read_text() + CONTROL_METRICS_AND_LEVEL.format(socket=path))
        await lane.start()
        loop = asyncio.get_running_loop()

        async def run(*words: str) -> subprocess.CompletedProcess[str]:
            return await loop.run_in_executor(None, lambda: command(*words))

        gateway = restarts.Gateway(lane.address, 1, lane)
        lane.gateways = [gateway]
        for _ in range(400):
            answer = await gateway.once("k0", "quote", 1.0)
            if answer is not None and answer.outcome == "delivered":
                break
            await asyncio.sleep(0.02)
        completed = await run("status", path)
        assert completed.returncode == 0, completed
        assert "level: none" in completed.stdout, completed
        assert "delivered 1" in completed.stdout, completed
        assert (await run("level", "hold", "slim", "--for", "30", path)).returncode == 2, "no unit"
        assert (await run("level", "hold", "odd", "--for", "5min", path)).returncode == 1
        assert (await run("level", "hold", "slim", "--for", "5min", path)).returncode == 0
        outcomes_at_held_level = [
            (await gateway.once(f"k{number}", workload, 1.0)).outcome
            for number, workload in enumerate(("quote", "book", "file"), 1)
        ]
        status = json.loads((await run("status", "--json", path)).stdout)[path]
        assert outcomes_at_held_level == ["turned back", "delivered", "delivered"]
        assert (status["level"]["now"], status["level"]["state"]) == ("slim", "pinned")
        text = (await run("metrics", path)).stdout
        assert 'valeturn_level{level="slim"} 1.0' in text
        assert "valeturn_link_up 1.0" in text
        assert 'valeturn_events_total{group="out",name="delivered"}' in text
        await asyncio.sleep(1.2)
        assert 'valeturn_level{level="slim"} 1.0' in pathlib.Path(path + ".prom").read_text(encoding="utf-8")
        assert (await run("level", "free", path)).returncode == 0
        assert (await run("level", "free", path)).returncode == 1, "nothing is held"
        assert (await gateway.once("k9", "quote", 1.0)).outcome == "delivered"
        assert (await run("status", path, str(tmp_path / "none"))).returncode == 1
        gateway.close()
        lane.process.send_signal(15)
        assert await asyncio.wait_for(lane.process.wait(), 10) == 0
        for server in lane.servers:
            server.close()

    asyncio.run(run_commands())
    log = (tmp_path / "lane" / "log").read_text()
    assert 'event=level server=lab from=none to=slim why="by hand for 300 s"' in log
    assert "from=slim to=none" in log
    assert not os.path.exists(path)
