"""`valeturn lab ...`: run simulations and trials of the program.

Each subcommand prints a line of figures at its end, and its exit code is 1 when a rule was broken.
"""

from __future__ import annotations

import sys

from ..cluster.limits import VOTERS


def whole_number(options, name):
    """Return an option as a whole number, or exit with a message."""
    try:
        return int(options[name])
    except ValueError:
        raise SystemExit(f"valeturn: {name} must be a whole number, not {options[name]!r}") from None


def seed_range(options):
    """Return the seeds that `--seeds A-B` names, both ends included; `--seeds A` is one seed."""
    first, _, last = options["--seeds"].partition("-")
    try:
        return range(int(first), int(last or first) + 1)
    except ValueError:
        raise SystemExit(f"valeturn: --seeds must be A-B, not {options['--seeds']!r}") from None


def run(options):
    """Run the subcommand that docopt's options name, and return the exit code."""
    if options["restarts"]:
        from .restarts import main as run_restarts

        return run_restarts(
            whole_number(options, "--kills"),
            whole_number(options, "--seed"),
            whole_number(options, "--lanes"),
            options["--keep"],
        )
    if options["soak"]:
        from .soak import main as run_soak

        return run_soak(seed_range(options), sys.stdout)
    if options["fleet-days"]:
        from .fleet_scenarios.main import days_named
        from .fleet_scenarios.main import main as run_fleet_days

        try:
            names = days_named(options["--day"])
        except KeyError as unknown:
            raise SystemExit(
                f"valeturn: --day must be all or names of days, not {unknown.args[0]!r}"
            ) from None
        first = whole_number(options, "--seed")
        return run_fleet_days(
            names,
            range(first, first + max(1, whole_number(options, "--seeds"))),
            whole_number(options, "--servers"),
            whole_number(options, "--gateways"),
            whole_number(options, "--seconds"),
            options["--against"].split(",") if options["--against"] else (),
            sys.stdout,
        )
    if options["owner"]:
        first = whole_number(options, "--seed")
        seeds = range(first, first + max(1, whole_number(options, "--seeds")))
        if options["--measure"]:
            from .fault_injection.measure import main as measure_fleet

            return measure_fleet(whole_number(options, "--servers"), first, sys.stdout)
        if options["--virtual"] and whole_number(options, "--servers") > VOTERS:
            from .fault_injection.virtual import measure as measure_cluster

            return (
                0
                if all(
                    [measure_cluster(whole_number(options, "--servers"), seed, sys.stdout) for seed in seeds]
                )
                else 1
            )
        if not options["--virtual"]:
            from .fault_injection.fault_runner import main as run_faults

            servers, faults = whole_number(options, "--servers"), whole_number(options, "--faults")
            return run_faults(
                servers, faults, seeds, sys.stdout, not options["--no-fences"], options["--keep"]
            )
        from .ownervirtual import main as simulate_owner

        return simulate_owner(
            whole_number(options, "--servers"), whole_number(options, "--faults"), seeds, sys.stdout
        )
    if options["turns"]:
        first, servers = whole_number(options, "--seed"), whole_number(options, "--servers")
        seeds = range(first, first + max(1, whole_number(options, "--seeds")))
        if options["--virtual"]:
            from .turns import main as simulate_release

            return max(simulate_release(servers, seeds, sys.stdout, 0.85, loss) for loss in (0.0, 0.1))
        from .fault_injection.maintenance import main as run_turns

        return run_turns(servers, whole_number(options, "--faults"), seeds, sys.stdout, options["--keep"])
    if options["shares"]:
        from .shares import main as run_shares

        first = whole_number(options, "--seed")
        seeds = range(first, first + max(1, whole_number(options, "--seeds")))
        return run_shares(whole_number(options, "--servers"), seeds, sys.stdout)
    if options["members"]:
        from .fleetvirtual import measure

        try:
            probabilities = [float(options[name]) for name in ("--loss", "--slow")]
        except ValueError:
            raise SystemExit("valeturn: --loss and --slow must be shares, such as 0.2") from None
        count_and_seed = [whole_number(options, name) for name in ("--servers", "--seed")]
        return (
            0
            if measure(*count_and_seed, *probabilities, whole_number(options, "--minutes"), sys.stdout)
            else 1
        )
    if options["levels"]:
        from .levels import SHAPES
        from .levels import main as run_levels

        first, shape = whole_number(options, "--seed"), options["--shape"]
        if shape not in SHAPES:
            raise SystemExit(f"valeturn: --shape must be one of {', '.join(SHAPES)}, not {shape!r}")
        seeds = range(first, first + max(1, whole_number(options, "--seeds")))
        if options["--real"]:
            from .levelsreal import main as run_levels_real

            seconds, servers = whole_number(options, "--seconds"), whole_number(options, "--servers")
            return run_levels_real(shape, seconds, servers, first, sys.stdout)
        return run_levels(
            shape,
            whole_number(options, "--minutes"),
            whole_number(options, "--servers"),
            seeds,
            options["--report"],
            sys.stdout,
        )
    from .storebench import main as run_store_bench

    return run_store_bench(whole_number(options, "--keys"), options["--folder"], sys.stdout)
