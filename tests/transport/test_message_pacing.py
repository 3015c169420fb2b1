"""Connections that send more messages than they need give way to others."""

import socket
import time

import pytest
from loop_support import run

from valeturn.transport import message_pacing
from valeturn.transport.message_pacing import MessageBudget, MessagePacing
from valeturn.transport.streams import Stream


def test_budget_is_used_up_by_many_messages_in_one_period_and_new_in_the_next():
    budget = MessageBudget()
    assert not budget.spend(10.0, message_pacing.MESSAGES_PER_PERIOD - 1)
    assert budget.spend(10.0 + message_pacing.PERIOD_S / 2, 1)
    assert not budget.spend(10.0 + 1.5 * message_pacing.PERIOD_S, 1)


def test_client_that_sends_little_is_not_held_back_for_what_gathered_while_the_process_was_slow():
    """Guards against a calm connection that falls behind once and is taken for a flooding one."""
    budget = MessageBudget()
    for turn in range(20):
        assert not budget.spend(10.0 + 0.02 * turn, 1, 8, caught_up=True)
    assert not budget.spend(10.9, 25, 8, caught_up=True)


def test_client_that_is_behind_saves_nothing():
    budget = MessageBudget()
    assert not budget.spend(10.0, 7, 8, caught_up=True)
    assert budget.spend(10.9, 8, 8, caught_up=False)


def test_turn_of_a_connection_begins_anew_once_all_was_read():
    """Guards against a calm connection that yields to flooding ones each time it has sent 32 messages."""
    budget = MessageBudget()
    for number in range(3 * message_pacing.MAX_MESSAGES_PER_TURN):
        budget.spend(10.0 + number, 1, caught_up=True)
        assert not budget.ends_turn()
    for number in range(message_pacing.MAX_MESSAGES_PER_TURN - 1):
        budget.spend(300.0 + number, 1)
    assert budget.ends_turn()


@pytest.mark.parametrize("low_priority", [False, True])
def test_tasks_that_yield_to_all_delay_no_other_however_many_they_are(scheduler, low_priority):
    """Guards against a round of the loop that takes as long as all flooding connections together."""
    handled, turns = [0], []

    def flooding():
        while len(turns) < 20:
            began = time.monotonic()
            while time.monotonic() < began + 0.0005:
                pass
            handled[0] += 1
            scheduler.yield_to_all()

    def calm():
        while len(turns) < 20:
            scheduler.sleep(0.002)
            turns.append(handled[0])

    def test():
        scheduler.spawn(calm, low_priority=low_priority)
        while len(turns) < 20:
            scheduler.sleep(0.01)

    run(scheduler, test, *[flooding] * 200)
    gaps = [after - before for before, after in zip(turns, turns[1:], strict=False)]
    assert max(gaps) <= 12


def test_task_that_was_cancelled_while_it_yielded_is_resumed_once(scheduler):
    """Guards against an entry that is left behind and ends the task's next wait."""
    seen = []

    def yielding():
        try:
            scheduler.yield_to_all()
        finally:
            task.cancelled = False
            seen.append(scheduler.wait(0.05, "time is up"))

    task = scheduler.spawn(yielding)

    def test():
        scheduler.cancel(task)
        scheduler.sleep(0.2)
        assert seen == ["time is up"] and not scheduler.yielded

    run(scheduler, test)


@pytest.mark.parametrize("flooding_count", [1, 10, 100])
def test_other_tasks_run_between_the_messages_of_flooding_connections(scheduler, flooding_count):
    """Guards against a loop that handles all that one connection sent before anything else runs."""
    pauses, handled, turns = [], [0], []
    pacing = MessagePacing(scheduler, lambda: pauses.append(1))

    def flooding():
        near, far = socket.socketpair()
        stream, budget = Stream(scheduler, near), MessageBudget()
        while len(turns) < 20:
            handled[0] += 1
            pacing.after(stream, budget, 1)
        far.close()

    def calm():
        for _ in range(20):
            scheduler.sleep(0.005)
            turns.append(handled[0])

    run(scheduler, calm, *[flooding] * flooding_count)
    gaps = [after - before for before, after in zip([0, *turns], turns, strict=False)]
    assert max(gaps) <= 3 * flooding_count * message_pacing.MAX_MESSAGES_PER_TURN
    assert len(pauses) >= flooding_count


def test_pause_of_a_connection_ends_when_its_client_closes(scheduler, monkeypatch):
    """Guards against requests that are started while nobody looks whether their client has left."""
    monkeypatch.setattr(message_pacing, "PERIOD_S", 5.0)
    monkeypatch.setattr(message_pacing, "MAX_PAUSE_S", 5.0)
    near, far = socket.socketpair()
    stream, pacing, paused = Stream(scheduler, near), MessagePacing(scheduler, lambda: None), []

    def flooding():
        began = scheduler.clock()
        pacing.after(stream, MessageBudget(), message_pacing.MESSAGES_PER_PERIOD)
        paused.append(scheduler.clock() - began)

    def client():
        far.sendall(b"unread")
        scheduler.sleep(0.05)
        far.close()

    run(scheduler, flooding, client)
    assert 0.04 < paused[0] < 2.0 and stream.peer_has_closed()


def test_connection_that_broke_still_gives_way(scheduler):
    near, far = socket.socketpair()
    stream, pacing, turns = Stream(scheduler, near), MessagePacing(scheduler, lambda: None), []
    stream.close()
    far.close()

    def flooding():
        budget = MessageBudget()
        for _ in range(20):
            pacing.after(stream, budget, message_pacing.MESSAGES_PER_PERIOD)
            turns.append("flooding")

    def calm():
        for _ in range(20):
            turns.append("calm")
            scheduler.pause()

    run(scheduler, flooding, calm)
    assert turns[:20].count("calm") >= 8


def test_connections_held_back_together_send_no_more_than_a_few(scheduler):
    pacing, allowances = MessagePacing(scheduler, lambda: None), []

    def flooding():
        near, far = socket.socketpair()
        pacing.after(Stream(scheduler, near), MessageBudget(), message_pacing.MESSAGES_PER_PERIOD)
        far.close()

    def watch():
        for _ in range(4):
            allowances.append(pacing.allowance(scheduler.clock()))
            for _ in range(50):
                scheduler.spawn(flooding)
            scheduler.pause()
            scheduler.pause()
        allowances.append(pacing.allowance(scheduler.clock()))

    run(scheduler, watch)
    assert allowances[0] == message_pacing.MESSAGES_PER_PERIOD
    assert allowances == sorted(allowances, reverse=True)
    assert allowances[-1] * 200 / message_pacing.MAX_PAUSE_S <= message_pacing.MESSAGES_PER_S
