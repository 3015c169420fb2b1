"""The lab: servers killed and restarted with and without a result store, the checker on planted faults, and
the emulator's degradation levels."""

import asyncio
import signal
from collections import Counter
from types import SimpleNamespace

import pytest
from program_support import command

from valeturn.lab import levels, restarts
from valeturn.lab.checker import CUT, DELIVERED, SILENT, TURNED_BACK, WRITTEN_OFF, Try, check


def test_repeatedly_killed_server_loses_nothing_and_runs_nothing_twice(tmp_path):
    verdict, lanes = asyncio.run(restarts.play(24, 3, 4, tmp_path))
    assert verdict.good(), (verdict.twice, verdict.lost, verdict.wrong)
    assert sum(lane.made for lane in lanes) == 24 and verdict.effects > 100
    assert verdict.answered_from_store > 20 and verdict.submissions > 500
    logs = b"".join((lane.folder / "log").read_bytes() for lane in lanes)
    assert b"event=core_fault" not in logs and b"task_failed" not in logs and b"module_failed" not in logs


def test_without_result_store_the_same_schedule_shows_repeated_effects(tmp_path):
    verdict, _ = asyncio.run(restarts.play(6, 3, 2, tmp_path, store=False))
    assert verdict.twice and verdict.wrong and not verdict.lost


def make_try(outcome, call="c1", key="k", workload="book", life=1, result=b"r", at=5.0):
    return Try(key, workload, call, life, outcome, result, life, at)


def executor_record(effects, calls, results=None):
    return SimpleNamespace(effects=Counter(effects), calls=calls, results=results or {})


BOOK = ("book", b"k")


@pytest.mark.parametrize(
    "tries, doubled, executor, field",
    [
        ([make_try(DELIVERED)], [], executor_record({BOOK: 2}, {"c1": b"k"}, {BOOK: b"r"}), "twice"),
        ([make_try(SILENT)], [], executor_record({}, {}), "lost"),
        ([make_try(CUT, at=5.0)], [], executor_record({}, {}), "lost"),
        ([make_try(DELIVERED)], ["c1"], executor_record({BOOK: 1}, {"c1": b"k"}, {BOOK: b"r"}), "wrong"),
        ([make_try(DELIVERED)], [], executor_record({BOOK: 1}, {"c1": b"k"}, {BOOK: b"other"}), "wrong"),
        ([make_try(DELIVERED)], [], executor_record({}, {}), "wrong"),
        ([make_try(TURNED_BACK)], [], executor_record({BOOK: 1}, {"c1": b"k"}), "wrong"),
    ],
)
def test_checker_finds_each_planted_fault(tries, doubled, executor, field):
    verdict = check(tries, doubled, executor, {1: 99.0})
    assert not verdict.good() and getattr(verdict, field)


def test_checker_accepts_permitted_outcomes():
    tries = [
        make_try(DELIVERED),
        make_try(DELIVERED, "c2", life=2),
        make_try(CUT, "c3", at=98.9),
        make_try(WRITTEN_OFF, "c4"),
        make_try(TURNED_BACK, "c5"),
    ]
    verdict = check(tries, [], executor_record({BOOK: 1}, {"c1": b"k"}, {BOOK: b"r"}), {1: 99.0})
    assert verdict.good() and verdict.answered_from_store == 1 and verdict.effects == 1


def test_folder_in_use_is_rejected_and_changed_setting_needs_restart(tmp_path):
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


def test_commands_print_their_figures_last():
    done = command("lab", "restarts", "--kills", "2", "--lanes", "1", "--seed", "5")
    words = dict(word.split("=") for word in done.stdout.splitlines()[-1].split())
    assert done.returncode == 0 and words["kills"] == "2" and words["twice"] == words["lost"] == "0"
    done = command("lab", "store", "--keys", "2000")
    assert done.returncode == 0 and "sqlite3: durable_a_second=" in done.stdout
    assert command("lab", "restarts", "--kills", "many").returncode != 0


def test_levels_earn_more_under_slow_dependency_and_reject_nothing_after_start():
    gains = []
    for seed in (1, 2, 3, 4):
        without, with_them = (levels.play("slow", 3, 40.0, levels_on, seed) for levels_on in (False, True))
        assert with_them.rejected_after_start == 0, seed
        assert (
            2 <= with_them.level_changes <= 3 * 10
            and without.level_changes == 0
            and sum(with_them.degraded) > 0
        )
        gains.append(with_them.earned_value - without.earned_value)
    assert sum(gains) > 100, (
        "summed over the seeds, as the controller itself bypasses calls early and levels do not gain on each"
    )
    baseline = [levels.play("steady", 3, 40.0, levels_on, 5) for levels_on in (False, True)]
    assert baseline[1].level_changes == 0 and baseline[0].summary() == baseline[1].summary(), (
        "no level is entered: equal to the last digit"
    )


def test_emulator_is_deterministic_and_accounts_for_every_submission():
    first, second = (levels.play("failing", 2, 30.0, True, 8) for _ in range(2))
    assert first.summary() == second.summary()
    assert sum(first.sent) == sum(first.delivered) + first.rejected + first.failed


def test_report_can_be_read_without_the_program(tmp_path):
    levels.report(
        tmp_path, "slow", 30.0, *(levels.play("slow", 1, 30.0, levels_on, 1) for levels_on in (False, True))
    )
    page = (tmp_path / "index.html").read_text()
    assert "levels.png" in page and "earned=" in page and (tmp_path / "levels.png").stat().st_size > 10_000


def test_reloads_during_log_compaction_lose_nothing(tmp_path):
    """A small store is filled past the start of compaction, with a SIGHUP after every eight submissions;
    then the server is killed."""
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
        delivered = []
        for first_key in range(0, 160, 8):
            keys = [f"{number:04d}" + "x" * 1900 for number in range(first_key, first_key + 8)]
            attempts = await asyncio.gather(*(gateway.once(key, "book", 2.0) for key in keys))
            delivered += [attempt for attempt in attempts if attempt.outcome == "delivered"]
            lane.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.05)
        lane.process.send_signal(signal.SIGUSR1)
        await wait_for(b"compactions=")
        assert (tmp_path / "log").read_bytes().count(b"event=reload_applied") >= 5
        await lane.kill()
        await lane.start()
        for _ in range(400):
            again = await gateway.once(delivered[0].key, "book", 2.0)
            if again is not None and again.outcome == "delivered":
                break
            await asyncio.sleep(0.02)
        for first_try in delivered:
            again = await gateway.once(first_try.key, "book", 2.0)
            assert (again.outcome, again.result) == ("delivered", first_try.result)
        gateway.close()
        await lane.kill()
        lane.executor.close()
        for server in lane.servers:
            server.close()
        verdict = check(lane.tries, lane.doubled, lane.executor, lane.deaths)
        assert verdict.good() and len(delivered) > 40

    asyncio.run(play())
