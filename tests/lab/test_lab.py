"""The laboratory: a server killed and restarted with and without its store, and the checker on planted
faults."""

import asyncio
import signal
from collections import Counter
from types import SimpleNamespace

import pytest
from program_support import command

from valeturn.lab import levels, restarts
from valeturn.lab.checker import CUT, DELIVERED, SILENT, TURNED_BACK, WRITTEN_OFF, Try, check


def test_a_server_killed_again_and_again_loses_nothing_and_runs_nothing_twice(tmp_path):
    verdict, lanes = asyncio.run(restarts.play(24, 3, 4, tmp_path))
    assert verdict.good(), (verdict.twice, verdict.lost, verdict.wrong)
    assert sum(lane.made for lane in lanes) == 24 and verdict.effects > 100
    assert verdict.answered_from_store > 20 and verdict.submissions > 500
    logs = b"".join((lane.folder / "log").read_bytes() for lane in lanes)
    assert b"event=core_fault" not in logs and b"task_failed" not in logs and b"module_failed" not in logs


def test_without_the_store_the_same_shows_effects_twice(tmp_path):
    verdict, _ = asyncio.run(restarts.play(6, 3, 2, tmp_path, store=False))
    assert verdict.twice and verdict.wrong and not verdict.lost


def one(outcome, call="c1", key="k", workload="book", life=1, result=b"r", at=5.0):
    return Try(key, workload, call, life, outcome, result, life, at)


def seen(effects, calls, results=None):
    return SimpleNamespace(effects=Counter(effects), calls=calls, results=results or {})


BOOK = ("book", b"k")


@pytest.mark.parametrize(
    "tries, doubled, executor, field",
    [
        ([one(DELIVERED)], [], seen({BOOK: 2}, {"c1": b"k"}, {BOOK: b"r"}), "twice"),
        ([one(SILENT)], [], seen({}, {}), "lost"),
        ([one(CUT, at=5.0)], [], seen({}, {}), "lost"),
        ([one(DELIVERED)], ["c1"], seen({BOOK: 1}, {"c1": b"k"}, {BOOK: b"r"}), "wrong"),
        ([one(DELIVERED)], [], seen({BOOK: 1}, {"c1": b"k"}, {BOOK: b"other"}), "wrong"),
        ([one(DELIVERED)], [], seen({}, {}), "wrong"),
        ([one(TURNED_BACK)], [], seen({BOOK: 1}, {"c1": b"k"}), "wrong"),
    ],
)
def test_the_checker_finds_each_planted_fault(tries, doubled, executor, field):
    verdict = check(tries, doubled, executor, {1: 99.0})
    assert not verdict.good() and getattr(verdict, field)


def test_the_checker_passes_what_is_allowed():
    tries = [
        one(DELIVERED),
        one(DELIVERED, "c2", life=2),
        one(CUT, "c3", at=98.9),
        one(WRITTEN_OFF, "c4"),
        one(TURNED_BACK, "c5"),
    ]
    verdict = check(tries, [], seen({BOOK: 1}, {"c1": b"k"}, {BOOK: b"r"}), {1: 99.0})
    assert verdict.good() and verdict.answered_from_store == 1 and verdict.effects == 1


def test_a_folder_in_use_is_refused_and_a_changed_file_wants_a_restart(tmp_path):
    lane = restarts.Lane(tmp_path, 1, 1, 0)

    async def play():
        await lane.set_up()
        await lane.start()
        for _ in range(400):
            if b"event=welcome" in (tmp_path / "log").read_bytes():
                break
            await asyncio.sleep(0.02)
        loop = asyncio.get_running_loop()
        second = await loop.run_in_executor(
            None, lambda: command("serve", "--config", str(lane.config), "--settings", str(lane.settings))
        )
        assert second.returncode == 2 and "another process has it" in second.stderr
        lane.settings.write_text(lane.settings.read_text().replace("8 MB", "9 MB"))
        lane.process.send_signal(signal.SIGHUP)
        for _ in range(200):
            if b"need_restart=settings" in (tmp_path / "log").read_bytes():
                break
            await asyncio.sleep(0.02)
        lane.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(lane.process.wait(), 10) == 0
        for server in lane.servers:
            server.close()

    asyncio.run(play())
    assert b"need_restart=settings" in (tmp_path / "log").read_bytes()
    assert b"event=store_closed" in (tmp_path / "log").read_bytes()


def test_the_commands_end_with_their_figures():
    done = command("lab", "restarts", "--kills", "2", "--lanes", "1", "--seed", "5")
    words = dict(word.split("=") for word in done.stdout.splitlines()[-1].split())
    assert done.returncode == 0 and words["kills"] == "2" and words["twice"] == words["lost"] == "0"
    done = command("lab", "store", "--keys", "2000")
    assert done.returncode == 0 and "sqlite3: durable_a_second=" in done.stdout
    assert command("lab", "restarts", "--kills", "many").returncode != 0


def test_levels_earn_more_when_the_dependency_strains_and_refuse_nothing_that_has_started():
    gains = []
    for seed in (1, 2, 3, 4):
        without, with_them = (levels.play("slow", 3, 40.0, on, seed) for on in (False, True))
        assert with_them.refused_after_start == 0, seed
        assert 2 <= with_them.changes <= 3 * 10 and without.changes == 0 and sum(with_them.slim) > 0
        gains.append(with_them.worth - without.worth)
    assert sum(gains) > 100, "over the seeds: since the module itself leaves calls out early, not on each"
    calm = [levels.play("steady", 3, 40.0, on, 5) for on in (False, True)]
    assert calm[1].changes == 0 and calm[0].line() == calm[1].line(), (
        "no level entered: the same to the digit"
    )


def test_the_emulator_plays_the_same_seed_the_same_and_loses_no_submission():
    one, other = (levels.play("failing", 2, 30.0, True, 8) for _ in range(2))
    assert one.line() == other.line()
    assert sum(one.sent) == sum(one.delivered) + one.turned_back + one.written_off


def test_a_report_can_be_read_without_the_program(tmp_path):
    levels.report(tmp_path, "slow", 30.0, *(levels.play("slow", 1, 30.0, on, 1) for on in (False, True)))
    page = (tmp_path / "index.html").read_text()
    assert "levels.png" in page and "earned=" in page and (tmp_path / "levels.png").stat().st_size > 10_000


def test_reloads_while_the_log_is_compacted_lose_nothing(tmp_path):
    """A small store, filled past where compaction begins, with a SIGHUP after every few submissions; then
    killed."""
    lane = restarts.Lane(tmp_path, 1, 1, 0)

    async def wait_for(text):
        for _ in range(400):
            if text in (tmp_path / "log").read_bytes():
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"{text} never came")

    async def play():
        await lane.set_up()
        small = lane.settings.read_text().replace("8 MB", "1 MB").replace("128 kB", "66 kB")
        lane.settings.write_text(small.replace("4 MB", "2 MB"))
        await lane.start()
        await wait_for(b"event=welcome")
        gateway = restarts.Gateway(lane.address, 1, lane)
        done = []
        for n in range(0, 160, 8):
            keys = [f"{m:04d}" + "x" * 1900 for m in range(n, n + 8)]
            got = await asyncio.gather(*(gateway.once(key, "book", 2.0) for key in keys))
            done += [one for one in got if one.outcome == "delivered"]
            lane.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        lane.process.send_signal(signal.SIGUSR1)
        await wait_for(b"compactions=")
        assert (tmp_path / "log").read_bytes().count(b"event=reload_applied") >= 5
        await lane.kill()
        await lane.start()
        for _ in range(400):
            again = await gateway.once(done[0].key, "book", 2.0)
            if again is not None and again.outcome == "delivered":
                break
            await asyncio.sleep(0.02)
        for one in done:
            again = await gateway.once(one.key, "book", 2.0)
            assert (again.outcome, again.result) == ("delivered", one.result)
        gateway.close()
        await lane.kill()
        lane.executor.close()
        for server in lane.servers:
            server.close()
        verdict = check(lane.tries, lane.doubled, lane.executor, lane.deaths)
        assert verdict.good() and len(done) > 40

    asyncio.run(play())
