"""Look-ups, intents and results over restarts, and on a disk that fails."""

import errno

import pytest
from memory_disk import Machine, events, log_files, seeded

from valeturn.result_store import compaction_policy
from valeturn.result_store.entry_states import ENDED_WITHOUT_RESULT, NEVER_STARTED, SUCCEEDED

EIO = errno.EIO
FULL = errno.ENOSPC


def test_restart_preserves_ended_executions_and_fails_unfinished_ones(machine):
    machine.start()
    machine.complete("done", 1, b"result")
    machine.begin("running", 2)
    machine.begin("failed", 3)
    machine.finish("failed", 3, ENDED_WITHOUT_RESULT)
    machine.begin("unsent", 4)
    machine.finish("unsent", 4, NEVER_STARTED)
    before = [machine.ask(key) for key in ("done", "running", "failed", "unsent", "new")]
    assert before == [
        ("answer", b"result"),
        ("coalesce", None),
        ("fail", None),
        ("execute", None),
        ("execute", None),
    ]
    machine.kill()
    machine.start()
    after = [machine.ask(key) for key in ("done", "running", "failed", "unsent", "new")]
    assert after == [
        ("answer", b"result"),
        ("fail", None),
        ("fail", None),
        ("execute", None),
        ("execute", None),
    ]


def test_executor_report_after_restart_resolves_unfinished_execution(machine):
    machine.start()
    for number, key in enumerate(("done", "failed", "never", "silent"), 1):
        machine.begin(key, number)
    machine.kill()
    store = machine.start()
    assert (
        store.unfinished_workload((1).to_bytes(8, "big")) == "book"
        and store.unfinished_workload(b"another.") is None
    )
    assert store.end_unfinished((1).to_bytes(8, "big"), SUCCEEDED, b"late") and store.end_unfinished(
        (2).to_bytes(8, "big"), ENDED_WITHOUT_RESULT
    )
    assert store.end_unfinished((3).to_bytes(8, "big"), NEVER_STARTED) and not store.end_unfinished(
        (3).to_bytes(8, "big"), NEVER_STARTED
    )
    assert machine.ask("done") == ("answer", b"late"), "answered before it is on the disk"
    store.flush()
    store.collect()
    machine.kill()
    machine.start()
    asked = [machine.ask(key) for key in ("done", "failed", "never", "silent")]
    assert asked == [("answer", b"late"), ("fail", None), ("execute", None), ("fail", None)]


def test_request_is_sent_only_after_its_intent_is_durable(machine):
    store = machine.start(held=True)
    store.worker.step()
    store.collect()
    store.log_intent(1, store.key_digest("book", "a"), 30.0, bytes(8), "book")
    store.flush()
    assert store.collect() == [] and machine.ask("a")[0] == "coalesce"
    store.worker.step()
    synced = {
        name: machine.disk.synced[key] == len(machine.disk.data[key])
        for name, key in machine.disk.current_names.items()
        if name.endswith(".log")
    }
    assert store.collect() == [("intent_durable", 1, None)] and all(synced.values())


def test_intents_of_one_turn_share_one_write_and_one_sync(machine):
    store = machine.start()
    before = machine.files.counts.get("sync", 0)
    for number in range(1, 41):
        store.log_intent(
            number, store.key_digest("book", str(number)), 30.0, number.to_bytes(8, "big"), "book"
        )
    store.flush()
    assert len(store.collect()) == 40 and machine.files.counts["sync"] == before + 1


def test_idempotency_keys_do_not_reach_the_disk(machine):
    machine.start()
    machine.complete("parcel-77-Celaya", 1, b"result")
    machine.run_maintenance(20)
    everything = b"".join(bytes(data) for data in machine.disk.data.values())
    assert b"Celaya" not in everything and b"result" in everything


@pytest.mark.parametrize("seed", range(60))
def test_no_key_executes_twice_under_random_crashes_and_disk_failures(seed):
    """Compares the store with a simple model of the executions that were sent and of each key's answer."""
    random_source = seeded("crashes", seed)
    machine = Machine(disk=1_000_000, segment=65_536)
    machine.limits = machine.limits._replace(
        segment=2000
    )  # many small segments, for snapshots, drops and compactions
    machine.start(held=True)
    now, number, sent, results, running = (
        0.0,
        0,
        {},
        {},
        {},
    )  # sent: key -> end of the window of its latest execution
    pending_intents, newest = {}, {}
    for step in range(700):
        store, roll = machine.store, random_source.random()
        if roll < 0.35:
            key = f"k{random_source.randrange(40)}"
            lookup = store.look_up(store.key_digest("book", key), 0.0)
            ran = sent.get(key, 0.0) > now
            if lookup.outcome == "execute":
                assert not ran, f"step {step}: {key} would run again"
                if not store.retry_after():
                    number += 1
                    window = random_source.choice((3.0, 30.0))
                    pending_intents[number] = key, now + window
                    store.log_intent(
                        number, store.key_digest("book", key), window, number.to_bytes(8, "big"), "book"
                    )
            elif lookup.outcome == "answer":
                body = store.fetch_result(1_000_000 + step, lookup)
                assert body is None or body == results.get(key), (key, body, results.get(key))
                pending_intents[1_000_000 + step] = key, 0.0
        elif roll < 0.45 and running:
            number_of = random_source.choice(sorted(running))
            key = running.pop(number_of)
            entry_input, body = (
                random_source.choice((SUCCEEDED, SUCCEEDED, ENDED_WITHOUT_RESULT)),
                b"%s by %d" % (key.encode(), number_of),
            )
            if (
                entry_input == SUCCEEDED and newest[key] == number_of
            ):  # an execution whose window ended while it ran has no entry any more
                results[key] = body
            store.end_execution(
                number_of,
                store.key_digest("book", key),
                entry_input,
                body if entry_input == SUCCEEDED else None,
            )
        elif roll < 0.5 and pending_intents:
            number_of = random_source.choice(sorted(pending_intents))
            if number_of < 1_000_000:
                key, _ = pending_intents.pop(number_of)
                store.end_execution(number_of, store.key_digest("book", key), NEVER_STARTED)
        elif roll < 0.51:
            machine.files.fail[random_source.choice(("write", "sync", "create", "sync_folder", "rename"))] = (
                random_source.randrange(1, 3),
                random_source.choice((EIO, FULL)),
            )
        elif roll < 0.525:
            if random_source.random() < 0.5:
                machine.kill()
            else:
                down = random_source.choice((0.0, 2.0))
                machine.lose_power(random_source, down)
                now += down
            pending_intents, running = {}, {}
            machine.start(held=True)
        elif roll < 0.75:
            store.worker.step(random_source.randrange(1, 4))
        elif roll < 0.85:
            store.maintain()
        if random_source.random() < 0.3:
            machine.pass_time(0.25)
            now += 0.25
        store = machine.store
        for kind, request_id, body in store.collect():
            key, until = pending_intents.pop(request_id, (None, 0.0))
            if kind == "intent_durable" and key is not None:
                assert sent.get(key, 0.0) <= now, f"step {step}: {key} ran twice"
                sent[key], running[request_id], newest[key] = until, key, request_id
            elif kind == "result_read" and body is not None and key is not None:
                assert body == results[key]
        store.flush()
    assert len(sent) > 3 and machine.counts.get("store.invalid_transitions", 0) == 0


@pytest.mark.parametrize("what, code", [("write", FULL), ("write", EIO), ("sync", EIO)])
def test_failed_write_rejects_intent_and_abandons_descriptor(machine, what, code):
    machine.start()
    machine.complete("old", 1, b"kept")
    machine.begin("running", 2)
    machine.files.fail[what] = (1, code)
    assert (
        machine.begin("new", 3) == "refused"
        and machine.store.health == compaction_policy.DiskHealth.BACKING_OFF
    )
    assert machine.store.retry_after() > 0 and machine.begin("other", 4) == "refused"
    assert machine.ask("old") == ("answer", b"kept"), "reads go on"
    machine.finish("running", 2, SUCCEEDED, b"late")
    assert machine.ask("running") == ("answer", b"late")
    machine.run_maintenance(
        15
    )  # past the retry delay: a new segment is begun, and the queued records are written to it
    assert machine.store.health == compaction_policy.DiskHealth.HEALTHY and "store_disk_recovered" in events(
        machine
    )
    machine.complete("new", 5, b"now")
    machine.kill()
    machine.start()
    assert "store_damage_found" not in events(machine), (
        "the rest of the failed write does not count as damage"
    )
    asked = [machine.ask(key) for key in ("old", "running", "new", "other")]
    assert asked == [("answer", b"kept"), ("answer", b"late"), ("answer", b"now"), ("execute", None)]


def test_full_disk_rejects_keys_until_it_accepts_writes_again(machine):
    machine.start()
    machine.complete("old", 1)
    for what in ("write", "create"):
        machine.files.fail[what] = (10**6, FULL)
    assert machine.begin("a", 2) == "refused"
    machine.run_maintenance(100)
    assert machine.begin("b", 3) == "refused" and machine.ask("old")[0] == "answer"
    machine.files.fail.clear()
    machine.run_maintenance(20)
    assert machine.begin("c", 4) == "started"


def test_results_beyond_waiting_limit_are_recorded_as_failed(machine):
    store = machine.start(held=True)
    store.worker.step()
    store.collect()
    for number in range(1, 61):
        store.log_intent(
            number, store.key_digest("book", str(number)), 30.0, number.to_bytes(8, "big"), "book"
        )
    store.flush()
    store.worker.step()
    assert len(store.collect()) == 60
    store.limits = store.limits._replace(waiting=65_536)
    for number in range(1, 61):
        store.end_execution(number, store.key_digest("book", str(number)), SUCCEEDED, bytes(4096))
    assert store.waiting() < 65_536 + 5000 and machine.counts["store.results_lost"] > 20
    assert machine.ask("60") == ("fail", None), "known to have been executed, but its result was not stored"


def test_full_store_keeps_keys_in_window_and_returns_retry_after():
    machine = Machine(disk=1_000_000, segment=65_536)
    machine.start()
    number = 0
    while machine.begin(f"k{number}", number + 1, window=60.0) == "started":
        machine.finish(f"k{number}", number + 1, SUCCEEDED, bytes(4000))
        number += 1
    assert number > 50
    files = sum(len(data) for data in log_files(machine).values())
    assert files <= machine.limits.disk
    accepted = 0
    for storm in range(300):  # new keys and duplicates, and time for background jobs
        accepted += machine.begin(f"new{storm}", 1000 + storm) == "started"  # in space freed by old intents
        assert machine.ask(f"k{storm % number}")[0] == "answer"
        machine.run_maintenance(1)
        assert (
            sum(len(machine.disk.data[key]) for key in machine.disk.current_names.values())
            <= machine.limits.disk
        )
    assert 5 < machine.store.retry_after() < 70 and accepted < 8
    machine.kill()
    machine.start()
    assert all(machine.ask(f"k{n}") == ("answer", bytes(4000)) for n in range(number))
    machine.pass_time(70)
    machine.run_maintenance(200)
    assert machine.begin("later", 5000) == "started"


def test_number_of_keys_is_limited_by_memory():
    machine = Machine()
    machine.limits = machine.limits._replace(keys=50)
    machine.start()
    for number in range(1, 51):
        machine.complete(f"k{number}", number)
    assert machine.begin("more", 51) == "refused" and machine.store.retry_after() > 20


def test_records_that_became_durable_while_the_store_closes_count_as_durable(machine):
    """Guards against `close` not collecting the worker's results after its wait, and so reporting a loss."""
    store = machine.start(held=True)
    store.worker.step()
    store.collect()
    store.log_intent(1, store.key_digest("book", "a"), 30.0, bytes(8), "book")
    store.flush()
    assert store.close(0.0) is True
    assert store.in_flight is None and store.not_durable() == []
