"""A client that floods a server, in a process of its own, delays no calm gateway and takes no memory."""

import pytest

from valeturn.lab.client_floods import CALM_TIMEOUT_S, FloodPlan, measure

LATENCY_OBJECTIVE_S = 0.5  # of the calm gateway's workload in the example configuration
FLOOD_S = 1.5


@pytest.mark.parametrize(
    "kind",
    [
        "health-checks",
        "deep-health-checks",
        "named-health-checks",
        "cancels",
        "cancelled-submissions",
        "invalid-submissions",
        "unknown-workloads",
    ],
)
def test_flood_on_one_connection_delays_no_calm_gateway(kind):
    """Guards against a loop that handles all that one client sent before it serves the others."""
    report = measure(FloodPlan(kind, FLOOD_S))
    assert set(report.outcomes) == {"served"}, report.line()
    assert report.quantile_s(0.95) <= LATENCY_OBJECTIVE_S, report.line()


@pytest.mark.parametrize("kind", ["health-checks", "submissions", "half-buffered-frame", "slow-frame"])
def test_hundreds_of_flooding_connections_stay_within_the_memory_limit(kind):
    """Guards against messages of many connections that are decoded and wait for the dispatcher."""
    report = measure(FloodPlan(kind, FLOOD_S, connections=200, memory_mb=32, sockets=512))
    assert report.exit_code is None and report.peak_memory_mb <= 32, report.line()
    assert max(report.answer_times_s) <= CALM_TIMEOUT_S + 0.1 and "silent" not in report.outcomes, (
        report.line()
    )


@pytest.mark.parametrize("kind", ["many-field-health-checks", "unread-health-checks", "health-checks"])
def test_hundreds_of_flooding_connections_delay_no_calm_gateway(kind):
    """Guards against a budget for each connection that adds up to more than the process can handle."""
    report = measure(FloodPlan(kind, FLOOD_S, connections=200))
    assert set(report.outcomes) == {"served"}, report.line()
    assert report.quantile_s(0.95) <= LATENCY_OBJECTIVE_S, report.line()


@pytest.mark.parametrize("kind", ["many-field-health-checks", "health-checks"])
def test_more_flooding_connections_than_places_leave_a_calm_gateway_its_answers(kind):
    """Guards against a gateway that falls behind as all connections begin at once, and never catches up."""
    report = measure(FloodPlan(kind, 2 * FLOOD_S, connections=400, memory_mb=32, sockets=512))
    assert report.exit_code is None and report.peak_memory_mb <= 32, report.line()
    assert report.outcomes.keys() <= {"served", "rejected"}, report.line()
    assert report.median_s() <= LATENCY_OBJECTIVE_S, report.line()


def test_clients_that_close_with_requests_unread_delay_no_calm_gateway():
    """Guards against requests of departed clients that are taken up and take the others' turns."""
    report = measure(FloodPlan("abandoned-submissions", FLOOD_S, connections=200))
    assert set(report.outcomes) == {"served"}, report.line()
    assert report.quantile_s(0.95) <= LATENCY_OBJECTIVE_S, report.line()
