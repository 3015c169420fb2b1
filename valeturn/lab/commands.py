"""`valeturn lab ...`: each subcommand ends with one line of figures, and with 1 where a rule was broken."""

from __future__ import annotations

import sys

from ..cluster.limits import VOTERS


def number(given, name):
    try:
        return int(given[name])
    except ValueError:
        raise SystemExit(f"valeturn: {name} wants a whole number, has {given[name]!r}") from None


def seed_range(given):
    """The seeds that `--seeds A-B` names, both ends among them; `--seeds A` is one."""
    first, _, last = given["--seeds"].partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError:
        raise SystemExit(f"valeturn: --seeds wants A-B, has {given['--seeds']!r}") from None


def run(given):
    """The exit code for docopt's words."""
    if given["restarts"]:
        from .restarts import main as restarts

        return restarts(
            number(given, "--kills"), number(given, "--seed"), number(given, "--lanes"), given["--keep"]
        )
    if given["soak"]:
        from .soak import main as soak

        return soak(seed_range(given), sys.stdout)
    if given["fleet-days"]:
        from .fleet_scenarios.main import days_named
        from .fleet_scenarios.main import main as fleet_days

        try:
            names = days_named(given["--day"])
        except KeyError as unknown:
            raise SystemExit(f"valeturn: --day wants all or names of days, has {unknown.args[0]!r}") from None
        first = number(given, "--seed")
        return fleet_days(
            names,
            range(first, first + max(1, number(given, "--seeds"))),
            number(given, "--servers"),
            number(given, "--gateways"),
            number(given, "--seconds"),
            given["--against"].split(",") if given["--against"] else (),
            sys.stdout,
        )
    if given["owner"]:
        first = number(given, "--seed")
        seeds = range(first, first + max(1, number(given, "--seeds")))
        if given["--measure"]:
            from .fault_injection.measure import main as measure_fleet

            return measure_fleet(number(given, "--servers"), first, sys.stdout)
        if given["--virtual"] and number(given, "--servers") > VOTERS:
            from .fault_injection.virtual import measure as whole

            return 0 if all([whole(number(given, "--servers"), seed, sys.stdout) for seed in seeds]) else 1
        if not given["--virtual"]:
            from .fault_injection.fault_runner import main as storm

            servers, faults = number(given, "--servers"), number(given, "--faults")
            return storm(servers, faults, seeds, sys.stdout, not given["--no-fences"], given["--keep"])
        from .ownervirtual import main as owner

        return owner(number(given, "--servers"), number(given, "--faults"), seeds, sys.stdout)
    if given["turns"]:
        first, servers = number(given, "--seed"), number(given, "--servers")
        seeds = range(first, first + max(1, number(given, "--seeds")))
        if given["--virtual"]:
            from .turns import main as release

            return max(release(servers, seeds, sys.stdout, 0.85, lost) for lost in (0.0, 0.1))
        from .fault_injection.maintenance import main as turns

        return turns(servers, number(given, "--faults"), seeds, sys.stdout, given["--keep"])
    if given["shares"]:
        from .shares import main as shares

        first = number(given, "--seed")
        seeds = range(first, first + max(1, number(given, "--seeds")))
        return shares(number(given, "--servers"), seeds, sys.stdout)
    if given["members"]:
        from .fleetvirtual import measure

        try:
            shares = [float(given[name]) for name in ("--loss", "--slow")]
        except ValueError:
            raise SystemExit("valeturn: --loss and --slow want shares, such as 0.2") from None
        whole = [number(given, name) for name in ("--servers", "--seed")]
        return 0 if measure(*whole, *shares, number(given, "--minutes"), sys.stdout) else 1
    if given["levels"]:
        from .levels import SHAPES
        from .levels import main as levels

        first, shape = number(given, "--seed"), given["--shape"]
        if shape not in SHAPES:
            raise SystemExit(f"valeturn: --shape wants one of {', '.join(SHAPES)}, has {shape!r}")
        seeds = range(first, first + max(1, number(given, "--seeds")))
        if given["--real"]:
            from .levelsreal import main as levels_real

            seconds, servers = number(given, "--seconds"), number(given, "--servers")
            return levels_real(shape, seconds, servers, first, sys.stdout)
        return levels(
            shape,
            number(given, "--minutes"),
            number(given, "--servers"),
            seeds,
            given["--report"],
            sys.stdout,
        )
    from .storebench import main as store

    return store(number(given, "--keys"), given["--folder"], sys.stdout)
