"""The compaction policy and the capacity decision."""

from memory_disk import seeded

from valeturn.result_store import compaction_policy


def plain_decision(v):
    """What is to be done, said as a person would."""
    if not v.healthy:
        return "nothing"
    used = sum(size for _, size, _ in v.segments) + v.active[1]
    if v.segments:
        number, size, until = v.segments[0]
        ended = v.now - until > 5.0
        many = len(v.segments) > 24 and 2 * size < v.segment_limit
        if ended or v.now >= v.pause_until and (many or 4 * used > 3 * v.usable):
            if number >= v.covered:
                return "snapshot"
            return "drop" if ended else "compact"
    return (
        "snapshot"
        if v.unsnapshotted > 2 * v.segment_limit and 2 * v.unsnapshotted > v.snapshot_size
        else "nothing"
    )


def test_compaction_policy_matches_plain_reading():
    chance, seen = seeded("upkeep"), set()
    for _ in range(5000):
        first = chance.randrange(1, 5)
        segments = tuple(
            (first + n, chance.choice((100, 900)), chance.choice((50.0, 94.0, 96.0, 200.0)))
            for n in range(chance.choice((0, 1, 3, 30)))
        )
        view = compaction_policy.LogView(
            100.0,
            segments,
            (first + len(segments), chance.randrange(1000)),
            chance.randrange(40),
            chance.choice((0, 2500, 9000)),
            chance.choice((0, 4000, 90_000)),
            1000,
            chance.choice((1000, 10**6)),
            chance.random() < 0.8,
            chance.choice((0.0, 200.0)),
        )
        assert compaction_policy.decide(view) == plain_decision(view), view
        seen.add(plain_decision(view))
    assert seen == {"nothing", "snapshot", "drop", "compact"}


def test_each_limit_alone_rejects_a_key_and_tells_retry_after():
    room = compaction_policy.CapacityView(10, 100, 500, 100, 1000, 0, 50, -1.0, 0.0, 7.0)
    assert compaction_policy.retry_after(room) == 0.0
    for change, seconds in (
        ({"keys": 100}, 12.0),
        ({"used": 950}, 12.0),
        ({"waiting": 60}, 1.0),
        ({"in_doubt_for": 3.0}, 3.0),
        ({"disk_retry_in": 0.4}, 0.4),
    ):
        assert compaction_policy.retry_after(room._replace(**change)) == seconds, change
