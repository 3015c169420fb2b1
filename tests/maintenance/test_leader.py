"""The maintenance leader: its views from reports and the membership."""

import pytest
from maintenance_support import LeadingServer, requested

from valeturn.cluster.member_messages import LEFT
from valeturn.maintenance.records import RecordState


@pytest.mark.parametrize("late_report", [False, True])
def test_grant_is_for_present_incarnation_not_for_that_of_last_report(late_report):
    """The server left on the platform's termination signal while it waited, and has returned.

    A report of its earlier incarnation, received before or after the return is known, must lead to no grant:
    the current incarnation would count as maintained without having been drained.
    """
    leader = LeadingServer(*requested("a"))
    leader.set_member("a", 1)
    leader.receive_report("leader", 1)
    leader.receive_report("a", 1)
    leader.set_member("a", 1, LEFT)
    assert leader.plan_from_reports() == {"a": RecordState.WAITING}
    leader.set_member("a", 2)
    if late_report:
        leader.receive_report("a", 1)
    assert leader.plan_from_reports() == {"a": RecordState.WAITING}
    assert leader.schedule.wait_reasons["a"] == "it has not reported"
    leader.receive_report("a", 2)
    assert leader.plan_from_reports() == {"a": RecordState.GRANTED}
    assert leader.records()["a"].incarnation == 2
    leader.receive_report("a", 2)
    assert leader.plan_from_reports() == {"a": RecordState.GRANTED}, "it has not drained yet"
    leader.receive_report("a", 1)
    assert leader.plan_from_reports() == {"a": RecordState.GRANTED}, "a late report ends no incarnation"
    leader.set_member("a", 3)
    assert leader.plan_from_reports() == {"a": RecordState.GRANTED}, (
        "the granted incarnation has ended and counts as unavailable"
    )
    assert leader.schedule.unavailable_servers(list(leader.records().values()), {}) == {"a"}
    leader.receive_report("a", 3)
    assert leader.plan_from_reports() == {"a": RecordState.WAITING}, "it was not maintained"
