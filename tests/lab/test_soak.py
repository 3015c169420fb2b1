"""One server restarted in place by a drawn schedule must cause no violation, and the checker must find
planted faults: a dropped answer, a drain grace that is too long, a process that keeps the server's sockets.
"""

import pytest

from valeturn.lab import soak
from valeturn.lab.soak_schedule import Ending, OperatorFile, Signal, draw_schedule

PLANTED = "import sys\n{fault}\nfrom valeturn.server.commands import main\nsys.exit(main(sys.argv[1:]))"
DROPPED_ANSWER = """from valeturn.dispatch.gateway_connection import Connection
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
# Together these seeds have each kind of operator's file, each ending and each signal.
SHORT_SEEDS = (1, 2, 3, 5)


def violations_by_kind(found):
    return {name: rows[:3] for name, rows in found._asdict().items() if rows}


@pytest.mark.parametrize("seed", SHORT_SEEDS)
def test_a_server_ended_in_every_way_causes_no_violation(tmp_path, seed):
    found, environment = soak.play(tmp_path, seed)
    assert found.good(), violations_by_kind(found)
    assert len(environment.sent) > 500 and environment.server.incarnation == soak.INCARNATIONS + 1


def test_short_seeds_have_every_kind_of_ending_signal_and_file():
    schedules = [draw_schedule(seed, soak.INCARNATIONS) for seed in SHORT_SEEDS]
    incarnations = [incarnation for schedule in schedules for incarnation in schedule.incarnations]
    assert {schedule.operator_file for schedule in schedules} == set(OperatorFile)
    assert {incarnation.ending for incarnation in incarnations} == set(Ending)
    assert {one.signal for incarnation in incarnations for one in incarnation.signals} == set(Signal)
    assert (
        draw_schedule(1, soak.INCARNATIONS)
        == draw_schedule(1, soak.INCARNATIONS)
        != draw_schedule(2, soak.INCARNATIONS)
    )


def test_checker_finds_an_answer_dropped_during_the_drain(tmp_path):
    serve = ("-c", PLANTED.format(fault=DROPPED_ANSWER), "serve", "--config")
    found, _ = soak.play(tmp_path, 5, incarnations=4, serve=serve)
    assert found.lost


def test_checker_finds_submissions_that_run_after_the_drain_grace(tmp_path):
    found, _ = soak.play(tmp_path, 5, incarnations=4, drain_grace_s=1.1)
    assert found.late


def test_checker_finds_a_process_that_inherited_the_server_s_sockets(tmp_path):
    serve = ("-c", PLANTED.format(fault=INHERITING_READER), "serve", "--config")
    found, _ = soak.play(tmp_path, 3, incarnations=2, serve=serve)
    assert found.left_behind or found.crashed
