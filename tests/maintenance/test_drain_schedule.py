"""The leader's drain schedule: who is granted maintenance, and why others wait."""

import pytest
from maintenance_support import LIMITS, ScheduledLog, commit_records, make_view, requested

from valeturn.maintenance.drain_schedule import BYPASS_LIMIT, DrainSchedule
from valeturn.maintenance.messages import Instruction
from valeturn.maintenance.records import InvalidRecordError, MaintenanceRecord, RecordState, decode_record
from valeturn.transport.seeded_random import SeededRandom


def test_one_server_is_maintained_and_returns_before_the_next_is_granted():
    log = ScheduledLog(*requested("a", "b", "c"))
    views = [make_view(name) for name in "abc"]
    assert log.plan(views) == {
        "a": RecordState.GRANTED,
        "b": RecordState.WAITING,
        "c": RecordState.WAITING,
    }
    log.plan(views)
    assert log.schedule.wait_reasons["b"].startswith("waits for a, granted")
    token = log.records()["a"].fencing_token
    assert token == 1
    assert log.schedule.response_to(log.now, log.records()["a"], views[0]) == ("out", 1)
    for state in (RecordState.DRAINING, RecordState.DRAINED):
        views[0] = make_view("a", reported_state=state, fencing_token=token)
        assert log.plan(views)["a"] == state
    assert log.plan(views)["a"] == RecordState.IN_MAINTENANCE
    assert log.plan(views)["b"] == RecordState.WAITING
    assert log.schedule.response_to(log.now, log.records()["a"], views[0]) == ("work", 1)
    views[0] = make_view("a", alive=False)
    log.plan(views)
    views[0] = make_view("a", incarnation=2, warmup=0.5, answer_count=0)
    assert log.plan(views)["a"] == RecordState.WARMING_UP
    assert log.schedule.response_to(log.now, log.records()["a"], views[0]) == ("returned", 1)
    views[0] = make_view("a", incarnation=2, answer_count=3)
    assert log.plan(views)["a"] == RecordState.WARMING_UP, "it has not answered enough requests yet"
    views[0] = make_view("a", incarnation=2, answer_count=5)
    assert "a" not in log.plan(views)
    assert log.plan(views) == {"b": RecordState.GRANTED, "c": RecordState.WAITING}
    assert log.records()["b"].fencing_token == 2


@pytest.mark.parametrize(
    ("views", "reason"),
    [
        ([make_view("a", overloaded=True), make_view("b")], "under strain: a"),
        ([make_view("a", utilization=0.95), make_view("b", utilization=0.95)], "its cores are needed"),
        ([make_view("a"), make_view("b", alive=False), make_view("c")], "waits for b, which was lost"),
        ([make_view("a", reported_at=-50.0), make_view("b"), make_view("c")], "it has not reported"),
        (
            [make_view("a"), make_view("b", reported_at=-50.0), make_view("c", reported_at=-50.0)],
            "too few servers report",
        ),
        ([make_view("a", alive=False), make_view("b"), make_view("c")], "it is not there"),
    ],
)
def test_reason_for_waiting_is_given(views, reason):
    log = ScheduledLog(*requested("a"))
    assert log.plan(views) == {"a": RecordState.WAITING}
    assert reason in log.schedule.wait_reasons["a"]


def test_nothing_is_granted_while_an_operator_pauses_grants():
    log = ScheduledLog(*requested("a"))
    assert log.plan([make_view("a"), make_view("b")], paused=True) == {"a": RecordState.WAITING}
    assert "held" in log.schedule.wait_reasons["a"]


def test_one_zone_at_a_time_and_no_request_starves():
    limits = LIMITS._replace(max_unavailable=2)
    records = requested(*(f"a{n}" for n in range(12)))
    records.insert(1, MaintenanceRecord("b0", 1, "kernel", False, 60.0))
    log = ScheduledLog(*records, limits=limits)
    incarnations = {}
    granted_order = []
    most_unavailable = 0
    names = [record.server for record in records] + [f"x{n}" for n in range(12)]
    servers = dict.fromkeys(names, ("serving", 0.0))
    for _ in range(4000):
        views = []
        for name in names:
            state, since = servers[name]
            record = log.records().get(name)
            incarnation = incarnations.get(name, 1)
            granted = record is not None and record.state == RecordState.GRANTED
            if state == "serving" and granted and record.incarnation == incarnation:
                servers[name] = ("drained", log.now)
                granted_order.append(name)
            elif state == "drained" and record.state == RecordState.IN_MAINTENANCE:
                servers[name] = ("away", log.now)
            elif state == "away" and log.now - since > 1:
                servers[name] = ("serving", log.now)
                incarnations[name] = incarnation + 1
            state = servers[name][0]
            views.append(
                make_view(
                    name,
                    zone=name[0],
                    alive=state != "away",
                    incarnation=incarnations.get(name, 1),
                    fencing_token=getattr(record, "fencing_token", 0),
                    reported_state=RecordState.DRAINED if state == "drained" else RecordState.WAITING,
                )
            )
        log.plan(views)
        unavailable = [r.server for r in log.records().values() if r.state != RecordState.WAITING]
        most_unavailable = max(most_unavailable, len(unavailable))
        assert len({name[0] for name in unavailable}) <= 1, unavailable
        if not log.records():
            break
    assert not log.records()
    assert most_unavailable == 2
    assert sorted(granted_order) == sorted(record.server for record in records)
    assert granted_order.index("b0") <= BYPASS_LIMIT + 2, granted_order


def test_unused_grant_is_requeued_only_when_it_can_no_longer_reach_the_server():
    log = ScheduledLog(*requested("a"))
    views = [make_view("a"), make_view("b"), make_view("c")]
    log.plan(views)
    record = log.records()["a"]
    log.schedule.response_to(log.now, record, views[0])
    sent_at = log.now
    while log.now < sent_at + 1.4:
        assert log.plan(views)["a"] == RecordState.GRANTED
    log.log_state = commit_records(record._replace(cancelled=True), log_state=log.log_state)
    assert log.schedule.response_to(log.now, log.records()["a"], views[0]) == ("stay", 0)
    while log.now < sent_at + 1.6:
        log.plan(views)
    log.plan(views)
    assert "a" not in log.plan(views), "cancelled while it waited"


def test_grant_does_not_expire_before_the_server_had_time_to_receive_it():
    """The leader was elected long ago, and plans again before the server's next report."""
    log = ScheduledLog(*requested("a"), now=100.0)
    log.schedule.leader_since = 0.0
    views = [make_view("a"), make_view("b"), make_view("c")]
    log.plan(views)
    for _ in range(12):
        assert log.plan(views)["a"] == RecordState.GRANTED
    assert log.records()["a"].fencing_token == 1


def test_overload_of_a_drained_server_does_not_count_as_overload_of_the_cluster():
    log = ScheduledLog(requested("a")[0]._replace(state=RecordState.DRAINED, incarnation=1, fencing_token=1))
    drained = make_view("a", reported_state=RecordState.DRAINED, fencing_token=1, overloaded=True)
    assert log.plan([drained, make_view("b"), make_view("c")])["a"] == RecordState.IN_MAINTENANCE


def test_server_cut_off_under_its_grant_counts_as_unavailable_until_it_reports_that_it_serves():
    log = ScheduledLog(*requested("a", "b"))
    views = [make_view("a"), make_view("b"), make_view("c")]
    log.plan(views)
    log.schedule.response_to(log.now, log.records()["a"], views[0])
    views[0] = make_view("a", alive=False)
    assert log.plan(views, 30.0)["a"] == RecordState.GRANTED
    assert log.plan(views)["b"] == RecordState.WAITING
    views[0] = make_view("a")
    assert log.plan(views)["a"] == RecordState.GRANTED, "an instruction sent to it may still be valid"
    log.plan(views, 2.0)
    assert log.plan(views)["a"] in (RecordState.WAITING, RecordState.GRANTED), "it had never stopped serving"
    assert log.records()["a"].fencing_token in (0, 2)


@pytest.mark.parametrize("state", [RecordState.GRANTED, RecordState.DRAINING, RecordState.DRAINED])
@pytest.mark.parametrize("seconds_away", [0.0, 5.0])
def test_server_killed_before_its_maintenance_was_allowed_waits_for_it_again(state, seconds_away):
    """Guards against counting a restart as maintenance: `lab turns`, 5 servers, seeds 6, 10, 23, with load.

    A server was granted maintenance, killed before it could drain and restarted by its supervisor. The
    leader logged `granted`, `in work`, `warming`, `maintenance_ended` within two seconds, the server no
    `drain_started`: the end of its incarnation counted as the beginning of its maintenance, and the next
    incarnation as the end.
    """
    record = requested("a")[0]._replace(state=state, incarnation=1, fencing_token=1)
    log = ScheduledLog(record)
    log.log_state = log.log_state._replace(fencing_token=1)
    others = [make_view("b"), make_view("c")]
    while log.now < seconds_away:
        assert log.plan([make_view("a", alive=False), *others])["a"] == state, (
            "it still counts as unavailable"
        )
    returned = make_view("a", incarnation=2)
    assert log.plan([returned, *others])["a"] == RecordState.WAITING
    log.plan([returned, *others])
    assert log.plan([returned, *others])["a"] == RecordState.GRANTED
    assert (log.records()["a"].incarnation, log.records()["a"].fencing_token) == (2, 2)


@pytest.mark.parametrize("keep_missing", [True, False])
def test_server_lost_under_its_grant_is_overdue_like_one_that_does_not_return(keep_missing):
    limits = LIMITS._replace(keep_missing=keep_missing)
    record = requested("a")[0]._replace(state=RecordState.GRANTED, incarnation=1, fencing_token=1)
    log = ScheduledLog(record, limits=limits)
    views = [make_view("a", alive=False), make_view("b"), make_view("c")]
    log.plan(views)
    log.plan(views, 61.0)
    assert ("a" in log.records()) is keep_missing
    assert not keep_missing or log.records()["a"].overdue
    if keep_missing:
        views[0] = make_view("a", incarnation=2)
        assert log.plan(views)["a"] == RecordState.WAITING
        assert not log.records()["a"].overdue


def test_request_that_was_cancelled_while_its_server_was_lost_ends_when_it_returns():
    record = requested("a")[0]._replace(
        state=RecordState.DRAINING, incarnation=1, fencing_token=1, cancelled=True
    )
    log = ScheduledLog(record)
    views = [make_view("a", incarnation=2), make_view("b"), make_view("c")]
    log.plan(views)
    assert "a" not in log.plan(views)


def test_server_that_does_not_return_is_overdue_and_stays_unavailable_unless_the_file_says_otherwise():
    away = {"state": RecordState.IN_MAINTENANCE, "incarnation": 1, "fencing_token": 1}
    for keep_missing in (True, False):
        limits = LIMITS._replace(keep_missing=keep_missing)
        log = ScheduledLog(*requested("a", "b", state=RecordState.WAITING), limits=limits)
        log.log_state = commit_records(requested("a")[0]._replace(**away), log_state=log.log_state)
        views = [make_view("a", alive=False), make_view("b"), make_view("c")]
        log.plan(views)
        log.plan(views, 61.0)
        records = log.records()
        assert ("a" in records) is keep_missing
        assert not keep_missing or records["a"].overdue
        log.plan(views)
        assert log.records()["b"].state == RecordState.WAITING, "the other server is dead in either case"
    returned = make_view("a", incarnation=2, answer_count=9)
    log = ScheduledLog(requested("a")[0]._replace(**away, overdue=True))
    log.plan([returned, make_view("b")])
    assert not log.records()["a"].overdue
    assert log.records()["a"].state == RecordState.WARMING_UP


def test_drained_server_returns_without_maintenance_when_a_third_of_the_others_is_lost():
    limits = LIMITS._replace(max_unavailable=3)
    log = ScheduledLog(*requested(*"abcdef"), limits=limits)
    record = requested("a")[0]._replace(state=RecordState.DRAINED, incarnation=1, fencing_token=1)
    log.log_state = commit_records(record, log_state=log.log_state)
    drained = make_view("a", reported_state=RecordState.DRAINED, fencing_token=1, utilization=0.0)
    healthy = ScheduledLog(limits=limits)
    healthy.log_state = log.log_state
    others = [make_view(name, utilization=0.6) for name in "bcdef"]
    assert healthy.plan([drained, *others])["a"] == RecordState.IN_MAINTENANCE
    others = [make_view(name, utilization=0.97) for name in "bcd"]
    others += [make_view(name, alive=False) for name in "ef"]
    assert log.plan([drained, *others])["a"] == RecordState.RETURNING
    assert log.schedule.response_to(log.now, log.records()["a"], drained) == ("back", 1)
    returned = make_view("a", incarnation=2, answer_count=9, utilization=0.97)
    assert log.plan([returned, *others])["a"] == RecordState.WARMING_UP


def test_new_leader_grants_nothing_before_a_majority_has_reported():
    log = ScheduledLog(*requested("a", "b", "c"), now=100.0)
    silent = [make_view(name, reported_at=-1e9) for name in "abc"]
    assert set(log.plan(silent).values()) == {RecordState.WAITING}
    assert log.plan([make_view("a"), *silent[1:]])["a"] == RecordState.WAITING
    assert log.plan([make_view("a"), make_view("b"), silent[2]])["a"] == RecordState.GRANTED


def test_record_of_unknown_state_is_rejected():
    with pytest.raises(InvalidRecordError) as raised:
        decode_record(["a", 1, "kernel", False, 60.0, 7, 0, 0, 0, False, False])
    assert raised.value.state == 7


class SimulatedServer:
    """The actual state of a server, which the leader knows only from its reports."""

    REPORTED_STATES = {
        "serving": RecordState.WAITING,
        "draining": RecordState.DRAINING,
        "drained": RecordState.DRAINED,
    }

    def __init__(self, name):
        self.name = name
        self.zone = f"z{int(name[1:]) % 3}"
        self.state = "serving"
        self.incarnation = 1
        self.since = 0.0
        self.fencing_token = 0
        self.last_view = None

    def report(self, now):
        self.last_view = make_view(
            self.name,
            zone=self.zone,
            incarnation=self.incarnation,
            fencing_token=self.fencing_token,
            reported_state=self.REPORTED_STATES[self.state],
            reported_at=now,
        )
        return self.last_view

    def enter(self, state, now, fencing_token=0):
        self.state = state
        self.since = now
        self.fencing_token = fencing_token

    def restart(self, now):
        self.incarnation += 1
        self.enter("serving", now)

    def receive(self, now, response):
        instruction, fencing_token = response
        if instruction == Instruction.DRAIN and self.state == "serving":
            self.enter("draining", now, fencing_token)
        elif instruction == Instruction.START_MAINTENANCE and self.state == "drained":
            self.enter("away", now)
        elif instruction == Instruction.RESTART and self.state == "drained":
            self.restart(now)

    def step(self, now, random_source, log):
        """Report with some losses, finish the drain, and return after maintenance."""
        if self.state != "away" and random_source.random() < 0.6:
            record = log.records().get(self.name)
            response = log.schedule.response_to(now, record, self.report(now))
            if random_source.random() < 0.8:  # the answer arrives in time
                self.receive(now, response)
        elif self.state == "draining" and now - self.since > 0.5:
            self.state = "drained"
        elif self.state == "away" and now - self.since > 1.0 and random_source.random() < 0.3:
            self.restart(now)


def test_with_any_inputs_no_more_are_unavailable_than_allowed_and_every_request_ends():
    """Checks the schedule against the servers' actual states: all that are not serving are unavailable."""
    for seed in range(40):
        random_source = SeededRandom(seed * 7 + 1)
        for _ in range(5):
            random_source.random()
        names = [f"n{n}" for n in range(7)]
        limits = LIMITS._replace(max_unavailable=2, single_zone=seed % 2 == 0)
        log = ScheduledLog(*requested(*names), limits=limits)
        servers = [SimulatedServer(name) for name in names]
        for _ in range(3000):
            unavailable = [server for server in servers if server.state != "serving"]
            assert len(unavailable) <= 2, (seed, [server.name for server in unavailable])
            if limits.single_zone:
                assert len({server.zone for server in unavailable}) <= 1, seed
            for server in servers:
                server.step(log.now, random_source, log)
            views = [
                (server.last_view or make_view(server.name, reported_at=-1e9))._replace(
                    alive=server.state != "away"
                )
                for server in servers
            ]
            if random_source.random() < 0.003:  # another leader: it knows only the log
                log.schedule = DrainSchedule(limits, 1.0, 1.5, log.now)
            log.plan(views)
            if not log.records():
                break
        assert not log.records(), (seed, log.records(), log.schedule.wait_reasons)
