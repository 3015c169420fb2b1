"""The split of a dependency's limit: the sum stays below it, and deliberate faults are found."""

import pytest

from valeturn.cluster.quota import (
    GrantId,
    QuotaAllocator,
    QuotaClient,
    QuotaRequest,
    QuotaSource,
)
from valeturn.lab import shares


class BorrowsFromReceipt(QuotaClient):
    """Counts borrowed quota from the receipt of the grant."""

    def accept(self, now, grant):
        accepted = super().accept(now, grant)
        if accepted and self.source is QuotaSource.BORROWED:
            self.valid_until = now + grant.duration
        return accepted


class StartsWithGuaranteedQuota(QuotaClient):
    """Forgets that an earlier incarnation may have accepted a reduced quota."""

    def __init__(self, now, guaranteed, grant_duration):
        super().__init__(now, guaranteed, grant_duration)
        self.source = QuotaSource.GUARANTEED
        self.amount = guaranteed
        self.valid_until = float("inf")


class KeepsReductionTooShort(QuotaClient):
    """Returns to the guaranteed quota while others still use the difference."""

    def accept(self, now, grant):
        accepted = super().accept(now, grant)
        if accepted and self.source is QuotaSource.REDUCED:
            self.valid_until = now + grant.duration / 2
        return accepted


class AcceptsOlderGrants(QuotaClient):
    """Accepts grants older than the current one."""

    def accept(self, now, grant):
        self.current_grant = self.current_grant._replace(number=-1)
        return super().accept(now, grant)


class LendsAtOnce(QuotaAllocator):
    """Lends before the grants of an earlier leader have expired."""

    def __init__(self, *args):
        super().__init__(*args)
        self.lending_from = -1e9


class CountsUnconfirmed(QuotaAllocator):
    """Counts on a reduced quota once it was sent."""

    def handle_request(self, now, name, request):
        grant = super().handle_request(now, name, request)
        if grant is not None and grant.amount < self.guaranteed:
            server = self.servers[name]
            server.confirmed_amount = grant.amount
            server.confirmed_until = now + 2 * self.grant_duration
            server.sent = [sent for sent in server.sent if sent.number != grant.number]
        return grant


@pytest.mark.parametrize("servers", [2, 3, 7])
def test_sum_of_quotas_never_exceeds_limit_and_much_is_lent(servers):
    for seed in range(4):
        play = shares.QuotaSimulation(seed, servers)
        play.run(200.0)
        assert play.lent > 30


@pytest.mark.parametrize(
    ("client", "allocator"),
    [
        (BorrowsFromReceipt, QuotaAllocator),
        (StartsWithGuaranteedQuota, QuotaAllocator),
        (KeepsReductionTooShort, QuotaAllocator),
        (AcceptsOlderGrants, QuotaAllocator),
        (QuotaClient, LendsAtOnce),
        (QuotaClient, CountsUnconfirmed),
    ],
)
def test_planted_fault_is_found_by_random_schedules(client, allocator):
    for seed in range(12):
        try:
            shares.QuotaSimulation(seed, 4, client=client, allocator=allocator).run(300.0)
        except shares.CapExceeded:
            return
    raise AssertionError("not found")


@pytest.mark.parametrize(
    ("client", "allocator", "bounds"),
    [
        (BorrowsFromReceipt, QuotaAllocator, shares.Bounds(30_000, asks=3, steps=4)),
        (StartsWithGuaranteedQuota, QuotaAllocator, shares.Bounds(30_000, restarts=1)),
        (KeepsReductionTooShort, QuotaAllocator, shares.Bounds(30_000)),
        (QuotaClient, LendsAtOnce, shares.Bounds(30_000, asks=3, steps=4)),
    ],
)
def test_planted_fault_is_found_by_model_checker_with_short_trace(client, allocator, bounds):
    found = shares.explore(bounds, client, allocator, shares.lending_state)
    assert found.broken == "the sum of shares is under the cap"
    assert len(shares.describe(found.story)) <= 8
    correct = shares.explore(bounds._replace(states=8_000), start=shares.lending_state)
    assert correct.broken is None
    assert correct.states >= 8_000


def test_all_states_within_small_bounds_are_correct():
    found = shares.explore(shares.Bounds(asks=1, steps=2, owners=1, flying=2), start=shares.lending_state)
    assert found.whole
    assert found.broken is None
    assert found.states > 150


def test_server_in_need_borrows_from_others_until_grants_expire():
    clients = [QuotaClient(-100.0, 10.0, 2.0) for _ in range(3)]
    allocator = QuotaAllocator(-100.0, 1, 30.0, 3, 2.0)
    now = 0.0
    for step in range(12):
        now = 0.5 * step
        for number, need in enumerate((1.0, 1.0, 30.0)):
            grant = allocator.handle_request(now, str(number), clients[number].request(now, need))
            clients[number].accept(now, grant)
    assert [round(client.available(now), 1) for client in clients][2] > 20
    assert sum(client.available(now) for client in clients) <= 30 + 1e-9
    assert all(client.available(now + 10) == 10.0 for client in clients)
    assert allocator.handle_request(now, "one too many", QuotaRequest(1.0, now, GrantId(0, 0))) is None
