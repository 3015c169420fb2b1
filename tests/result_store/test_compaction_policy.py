"""The compaction policy and the capacity decision."""

from memory_disk import seeded

from valeturn.result_store import compaction_policy


def expected_action(view):
    """The expected action, in a second formulation of the policy."""
    if not view.healthy:
        return "nothing"
    used = sum(size for _, size, _ in view.segments) + view.active[1]
    if view.segments:
        number, size, until = view.segments[0]
        expired = view.now - until > 5.0
        many = len(view.segments) > 24 and 2 * size < view.segment_limit
        if expired or view.now >= view.pause_until and (many or 4 * used > 3 * view.usable):
            if number >= view.covered:
                return "snapshot"
            return "drop" if expired else "compact"
    return (
        "snapshot"
        if view.unsnapshotted > 2 * view.segment_limit and 2 * view.unsnapshotted > view.snapshot_size
        else "nothing"
    )


def test_compaction_policy_matches_plain_reading():
    random_source, seen = seeded("upkeep"), set()
    for _ in range(5000):
        first = random_source.randrange(1, 5)
        segments = tuple(
            (first + n, random_source.choice((100, 900)), random_source.choice((50.0, 94.0, 96.0, 200.0)))
            for n in range(random_source.choice((0, 1, 3, 30)))
        )
        view = compaction_policy.LogView(
            100.0,
            segments,
            (first + len(segments), random_source.randrange(1000)),
            random_source.randrange(40),
            random_source.choice((0, 2500, 9000)),
            random_source.choice((0, 4000, 90_000)),
            1000,
            random_source.choice((1000, 10**6)),
            random_source.random() < 0.8,
            random_source.choice((0.0, 200.0)),
        )
        assert compaction_policy.decide(view) == expected_action(view), view
        seen.add(expected_action(view))
    assert seen == {"nothing", "snapshot", "drop", "compact"}


def test_each_limit_alone_rejects_a_key_and_returns_retry_after():
    capacity = compaction_policy.CapacityView(10, 100, 500, 100, 1000, 0, 50, -1.0, 0.0, 7.0)
    assert compaction_policy.retry_after(capacity) == 0.0
    for change, seconds in (
        ({"keys": 100}, 12.0),
        ({"used": 950}, 12.0),
        ({"waiting": 60}, 1.0),
        ({"in_doubt_for": 3.0}, 3.0),
        ({"disk_retry_in": 0.4}, 0.4),
    ):
        assert compaction_policy.retry_after(capacity._replace(**change)) == seconds, change
