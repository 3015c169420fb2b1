"""One server, stopped and started again in place by a drawn schedule; and the checkers on planted faults."""

import pytest

from valeturn.lab import soak
from valeturn.lab.soak_schedule import Ending, OperatorFile, Signal, draw_schedule

PLANTED = "import sys\n{fault}\nfrom valeturn.server.commands import main\nsys.exit(main(sys.argv[1:]))"
DROPPED_ANSWER = """from valeturn.dispatch.gateway_server import Connection
from valeturn.server.shutdown import GracefulShutdown
begin, deliver = GracefulShutdown.begin, Connection.deliver
def noticed(self):
    Connection.noticed = True
    begin(self)
def dropping(self, stream, load, result):
    if self.noticed and stream % 3 == 0:
        self.open_streams.discard(stream)
    else:
        deliver(self, stream, load, result)
Connection.noticed, Connection.deliver, GracefulShutdown.begin = False, dropping, noticed"""
INHERITING_READER = """import os, time
from valeturn.operator_config import loader
run_reader = loader.run_reader
def forked(request, path, receive, sleep):
    if os.fork() == 0:
        open(path).read()
        time.sleep(0.3)
        os._exit(0)
    return run_reader(request, path, receive, sleep)
loader.run_reader = forked"""
# Seeds that have, together, each kind of operator's file, each ending and each signal.
SHORT = (1, 2, 3, 5)


def told(found):
    return {name: rows[:3] for name, rows in found._asdict().items() if rows}


@pytest.mark.parametrize("seed", SHORT)
def test_server_that_is_ended_in_all_ways_breaks_nothing(tmp_path, seed):
    found, world = soak.play(tmp_path, seed)
    assert found.good(), told(found)
    assert len(world.sent) > 500 and world.server.life == soak.LIVES + 1


def test_short_seeds_have_every_kind_of_ending_signal_and_file():
    schedules = [draw_schedule(seed, soak.LIVES) for seed in SHORT]
    lives = [life for schedule in schedules for life in schedule.lives]
    assert {schedule.operator_file for schedule in schedules} == set(OperatorFile)
    assert {life.ending for life in lives} == set(Ending)
    assert {one.signal for life in lives for one in life.signals} == set(Signal)
    assert draw_schedule(1, soak.LIVES) == draw_schedule(1, soak.LIVES) != draw_schedule(2, soak.LIVES)


def test_checkers_find_an_answer_that_is_dropped_at_the_drain(tmp_path):
    serve = ("-c", PLANTED.format(fault=DROPPED_ANSWER), "serve", "--config")
    found, _ = soak.play(tmp_path, 5, lives=4, serve=serve)
    assert found.lost


def test_checkers_find_what_runs_after_the_grace(tmp_path):
    found, _ = soak.play(tmp_path, 5, lives=4, grace=1.1)
    assert found.late


def test_checkers_find_a_process_that_has_the_server_s_sockets(tmp_path):
    serve = ("-c", PLANTED.format(fault=INHERITING_READER), "serve", "--config")
    found, _ = soak.play(tmp_path, 3, lives=2, serve=serve)
    assert found.left_behind or found.crashed
