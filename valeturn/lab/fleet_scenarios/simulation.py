"""Simulates one scenario day of a fleet in virtual time under one policy, and counts the results."""

from __future__ import annotations

import math

from ...admission import interface
from ...transport.seeded_random import SeededRandom
from ..emulator import Scenario, Simulation
from . import days, history_checker
from .gateways import ClientRequest, Gateway
from .servers import FleetServer

# Subjects, and the offset that flattens the head of their popularity, (rank + offset) ** -0.9.
SUBJECT_COUNT, POPULARITY_OFFSET = 4000, 3.0
HINT_SPREAD = 0.5  # largest deviation of a cost hint from the true work, in natural logarithms


def settings(day):
    """Return the admission settings of the day's servers."""
    # Mean concurrent calls at the full rate.
    calls = day.servers * days.FULL_RATE * days.CALL_SHARE * days.CALL_TIME_S
    tenants = (0.27, 0.21, 0.15, 0.14, 0.12, 0.11)
    return interface.Settings(
        workloads=days.WORKLOADS,
        tenants=tuple(
            interface.Tenant(f"t{number}", 0.9 * share * day.servers * days.FULL_RATE)
            for number, share in enumerate(tenants)
        ),
        servers=day.servers,
        cores=days.CORES,
        memory=100_000.0,
        run_memory_factor=4.0,
        interruption=interface.Interruption.CANCEL,
        load_advertisement=interface.LoadAdvertisement.LEVEL,
        tick=0.005,
        answer_slack=0.1,
        drain_grace=2.5,
        max_concurrency_per_core=8.0,
        cold_start_speed=0.3,
        warm_up_time=12.0,
        call_quota=2 * day.dependency_headroom * calls / day.servers,
        call_quota_window=5.0,
        call_linger=0.2,
        max_retry_after=1.0,
        value_per_unit_of_work=True,
    )


class FleetSimulation(Simulation):
    """A fleet with its gateways, clients and faults on one scenario day."""

    NETWORK_DELAY_S = 0.001  # seconds each way

    def __init__(self, day, controller_factory):
        self.day, self.controller_factory, self.history = (
            day,
            controller_factory,
            history_checker.HistoryChecker(),
        )
        self.unserved_reasons = {}
        calls = day.servers * days.FULL_RATE * days.CALL_SHARE * days.CALL_TIME_S
        scenario = Scenario(
            day.servers,
            day.seconds,
            settings(day),
            days.MIX,
            load=day.rate,
            call_time=days.CALL_TIME_S,
            call_capacity=max(4.0, 2 * day.dependency_headroom * calls),
        )
        super().__init__(scenario, day.seed)
        self.demand = SeededRandom(day.seed + 1)
        self.gateways = [
            Gateway(
                self,
                number,
                self.random_source.random() < day.follows_advice,
                self.random_source.random() < day.hashes_subject,
            )
            for number in range(day.gateways)
        ]
        for outage in day.outages:
            self.at(outage.at, self.start_outage, outage)
        for restart in day.restarts:
            for number in restart.gateways:
                self.at(
                    restart.at + restart.spread * self.random_source.random(), self.gateways[number].forget
                )
        self.popularity_sums = [0.0]
        for rank in range(1, SUBJECT_COUNT + 1):
            self.popularity_sums.append(self.popularity_sums[-1] + 1.0 / (rank + POPULARITY_OFFSET) ** 0.9)

    def make_server(self, number, seed):
        """Return a new server of the fleet."""
        return FleetServer(self, number, seed)

    def make_controller(self, settings, seed, now):
        """Return the policy of a server process."""
        return self.controller_factory(settings, seed, now)

    # ---- demand

    def submit(self):
        """Draw a client's request and send it through a gateway."""
        random_source = self.demand
        workload, draw = 0, random_source.random()
        for workload, mix in enumerate(days.MIX):
            draw -= mix.share
            if draw < 0:
                break
        workload_settings, mix = days.WORKLOADS[workload], days.MIX[workload]
        work = mix.work * (0.4 - 0.6 * math.log(1 - random_source.random()))
        hint = work * math.exp(HINT_SPREAD * (random_source.random() + random_source.random() - 1))
        request = ClientRequest(
            self.now,
            workload,
            work,
            hint,
            random_source.random(),
            self.tenant(),
            self.subject(),
            self.now + workload_settings.timeout,
            workload_settings.effect is interface.Effect.UNREPEATABLE,
        )
        self.totals.sent[workload] += 1
        self.totals.offered_value += workload_settings.value * work
        self.totals.by_second[int(self.now)][0] += workload_settings.value * work
        self.entry().send(request)

    def tenant(self):
        """Draw the index of a tenant."""
        draw = self.demand.random()
        for number, share in enumerate((0.27, 0.21, 0.15, 0.14, 0.12)):
            draw -= share
            if draw < 0:
                return number
        return 5

    def subject(self):
        """Draw a subject by binary search in the cumulated popularities, most popular first."""
        target, low, high = self.demand.random() * self.popularity_sums[-1], 0, SUBJECT_COUNT
        while low < high:
            middle = (low + high) // 2
            low, high = (middle + 1, high) if self.popularity_sums[middle + 1] < target else (low, middle)
        return low

    def entry(self):
        """Draw the gateway of a client; during a traffic shift one zone's gateways are more likely."""
        random_source = self.demand
        gateway = self.gateways[int(random_source.random() * len(self.gateways))]
        for at, until, zone, factor in self.day.shift:
            if at <= self.now < until and gateway.zone != zone and random_source.random() < 1 - 1 / factor:
                in_zone = [candidate for candidate in self.gateways if candidate.zone == zone]
                gateway = in_zone[int(random_source.random() * len(in_zone))]
        return gateway

    # ---- results

    def record_answer(self, server, attempt, answer):
        """Record the answer of a server and pass it to the gateway."""
        self.history.record_answer(attempt, answer)
        attempt.gateway.on_answer(attempt, answer)

    def handle_rejection(self, server, attempt, action=None):
        """Record a rejection and pass it to the gateway."""
        self.history.record_answer(attempt, history_checker.REJECTED)
        attempt.gateway.on_answer(attempt, history_checker.REJECTED, action)

    def record_delivery(self, attempt):
        """Count the value of a request when its first result reaches the gateway."""
        request, totals = attempt.request, self.totals
        if request.value_earned is not None:
            return
        workload_settings = days.WORKLOADS[request.workload]
        late = self.now > request.created_at + workload_settings.latency_objective
        totals.delivered[request.workload] += 1
        totals.late[request.workload] += late
        totals.degraded[request.workload] += attempt.degraded
        request.value_earned = (
            workload_settings.value
            * request.work
            * (workload_settings.late_value_share if late else 1.0)
            * (workload_settings.degraded_value_share if attempt.degraded else 1.0)
        )
        totals.earned_value += request.value_earned
        totals.by_second[int(request.created_at)][1] += request.value_earned

    def record_unserved(self, request, reason):
        """Count a request that is given up, once, by reason."""
        if request.value_earned is None:
            request.value_earned = 0.0
            self.unserved_reasons[reason] = self.unserved_reasons.get(reason, 0) + 1

    # ---- faults

    def is_cut_off(self, gateway, server):
        """Whether a partition separates the two now."""
        return any(
            partition.at <= self.now < partition.until
            and server.name in partition.servers
            and gateway.number in partition.gateways
            for partition in self.day.partitions
        )

    def speed_factor(self, name):
        """Return the factor on a server's speed now, at most 1."""
        factor = 1.0
        for slowdown in self.day.slowdowns:
            if slowdown.at <= self.now < slowdown.until and name in slowdown.servers:
                factor /= slowdown.factor
        return factor

    def fails(self, name):
        """Draw whether a run that ends now on this server fails."""
        return any(
            slowdown.failing
            and slowdown.at <= self.now < slowdown.until
            and name in slowdown.servers
            and self.random_source.random() < slowdown.failing
            for slowdown in self.day.slowdowns
        )

    def start_outage(self, outage):
        """Kill or drain the servers of an outage, and schedule their return."""
        for name in outage.servers:
            server = self.servers[name]
            if outage.notice is None:
                self.fail_server(server, outage.silent)
            else:
                server.start_drain(outage.notice)
                self.announce_change(name, False, self.day.list_lag)
            self.at(
                self.now + (outage.notice or 0.0) + outage.return_after, self.restore_server, server, True
            )

    def fail_server(self, server, silent):
        """Crash a server; a silent failure is noticed later."""
        server.crash()
        self.announce_change(server.name, False, self.day.silent_lag if silent else self.day.list_lag)

    def restore_server(self, server, cold):
        """Start a server again and announce it to the gateways."""
        if not server.up:
            server.start(cold)
            server.wake()
            self.announce_change(server.name, True, (0.5, 2.0))

    def announce_change(self, name, present, lag):
        """Schedule when each gateway learns of a list change; it takes longer if the registry is down."""
        for gateway in self.gateways:
            when = self.now + days.draw_between(self.random_source, *lag)
            for at, until in self.day.registry_down:
                if at <= when < until:
                    when = until + days.draw_between(self.random_source, *lag)
            self.at(when, gateway.on_list_change, name, present)

    def update_lists(self):
        """Do nothing: the base class has one list for all callers, here each gateway has its own."""

    def summary(self):
        """Return the day's figures as one line of key=value fields."""
        totals = self.totals
        in_goal = sum(totals.delivered) - sum(totals.late)
        sent = max(1, sum(totals.sent))
        answers = self.history.answers
        return (
            f"sent={sent} delivered={sum(totals.delivered)} in_goal={in_goal / sent:.4f} "
            f"slim={sum(totals.degraded)} "
            f"turned_back={answers[history_checker.REJECTED]} written_off={answers[history_checker.FAILED]} "
            f"earned={totals.earned_value / max(1e-9, totals.offered_value):.4f} "
            f"worst_10s={totals.worst_window(10):.4f} "
            f"{self.history.summary()}"
        )
