"""The table of an entry's states against a second formulation of the rules."""

from valeturn.result_store import entry_states
from valeturn.result_store.entry_states import ENDED_WITHOUT_RESULT, IN_DOUBT, NEVER_STARTED, SUCCEEDED


def expected_state(state, entry_input):
    """The expected next state: from what is on the disk, and whether the execution may still run."""
    if entry_input == entry_states.RESTART:
        return IN_DOUBT if state in (entry_states.INTENT_PENDING, entry_states.EXECUTING) else state
    if entry_input == entry_states.WINDOW_ENDED:
        return entry_states.ABSENT if state in (entry_states.STORED, entry_states.FAILED, IN_DOUBT) else None
    if entry_input == entry_states.START:
        return entry_states.INTENT_PENDING if state == entry_states.ABSENT else None
    if entry_input in (entry_states.INTENT_DURABLE, entry_states.INTENT_LOST):
        return (
            {
                entry_states.INTENT_DURABLE: entry_states.EXECUTING,
                entry_states.INTENT_LOST: entry_states.ABSENT,
            }[entry_input]
            if state == entry_states.INTENT_PENDING
            else None
        )
    if entry_input == NEVER_STARTED:
        return (
            entry_states.ABSENT
            if state in (entry_states.INTENT_PENDING, entry_states.EXECUTING, IN_DOUBT)
            else None
        )
    return (
        {SUCCEEDED: entry_states.STORED, ENDED_WITHOUT_RESULT: entry_states.FAILED}[entry_input]
        if state in (entry_states.EXECUTING, IN_DOUBT)
        else None
    )


def test_transitions_match_plain_reading_for_every_state_and_input():
    for state in entry_states.ALL_STATES:
        for entry_input in range(8):
            found = entry_states.transition(state, entry_input)
            assert (found[0] if found else None) == expected_state(state, entry_input), (state, entry_input)
    assert set(entry_states.LOOKUP_OUTCOMES) == set(entry_states.ALL_STATES)
