"""A whole release in virtual time, compared with simpler strategies."""

from valeturn.lab import turns as release_simulation


def test_release_of_sixty_servers_holds_service_where_simpler_strategies_do_not():
    results = {
        strategy: simulate(release_simulation.Release(60, 0.85, 3, 0.1))
        for strategy, simulate in release_simulation.WAYS.items()
        if "one" not in strategy
    }
    schedule = results["order"]
    batches = results["a tenth, pause 20 s"]
    assert schedule["took"] < 20000
    assert schedule["served"] > 0.99
    assert schedule["served"] > batches["served"] > results["all at once"]["served"]
    assert schedule["worst_10s"] > batches["worst_10s"] + 0.02
