"""Connections that send more messages than they need give way to others."""

import pytest
from loop_support import run

from valeturn.transport import message_pacing
from valeturn.transport.message_pacing import MessageBudget, MessagePacing


def test_budget_is_used_up_by_many_messages_in_one_period_and_new_in_the_next():
    budget = MessageBudget()
    assert not budget.spend(10.0, message_pacing.MESSAGES_PER_PERIOD - 1)
    assert budget.spend(10.0 + message_pacing.PERIOD_S / 2, 1)
    assert not budget.spend(10.0 + 1.5 * message_pacing.PERIOD_S, 1)


@pytest.mark.parametrize("flooding_count", [1, 10, 100])
def test_other_tasks_run_between_the_messages_of_flooding_connections(scheduler, flooding_count):
    """Guards against a loop that handles all that one connection sent before anything else runs."""
    pacing, handled, turns = MessagePacing(scheduler), [0], []

    def flooding():
        budget = MessageBudget()
        while len(turns) < 20:
            handled[0] += 1
            pacing.after(budget, 1)

    def calm():
        for _ in range(20):
            scheduler.sleep(0.005)
            turns.append(handled[0])

    run(scheduler, calm, *[flooding] * flooding_count)
    gaps = [after - before for before, after in zip([0, *turns], turns, strict=False)]
    assert max(gaps) <= 3 * flooding_count * message_pacing.MAX_MESSAGES_PER_TURN
    assert pacing.pauses >= flooding_count
