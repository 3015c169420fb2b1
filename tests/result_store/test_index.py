"""The index against a dict."""

import pytest
from memory_disk import seeded

from valeturn.result_store import entry_states
from valeturn.result_store.entry_states import IN_DOUBT
from valeturn.result_store.index import Index


@pytest.mark.parametrize("seed", range(4))
def test_index_matches_dict(seed):
    random_source, index, expected = seeded("index", seed), Index(), {}
    keys = [
        bytes(random_source.randrange(256) for _ in range(2))
        + b"\0\0\0"
        + bytes(random_source.randrange(4) for _ in range(11))
        for _ in range(400)
    ]  # many of the keys collide
    keys = [bytes((1, 0)) + key[2:] if n % 2 else key for n, key in enumerate(keys)]
    for step in range(6000):
        key = random_source.choice(keys)
        if random_source.random() < 0.6:
            row = (
                random_source.randrange(9),
                step,
                random_source.randrange(1000),
                7,
                random_source.choice((IN_DOUBT, entry_states.STORED)),
            )
            index.put(key, *row)
            expected[key] = row
        else:
            assert index.remove(key) == (expected.pop(key, None) is not None)
        probe = random_source.choice(keys)
        assert (index.get(probe) or (None,))[1:] == expected.get(probe, ())
    assert index.count == len(expected) == sum(index.counts)
    rows = {row.digest: tuple(row[1:]) for n in range(len(index.shards)) for row in index.shard_rows(n)}
    assert rows == expected
    copy = Index()
    for number in range(len(index.shards)):
        if (data := index.dump_shard(number)) is not None:
            copy.load_shard(number, data)
    assert copy.count == len(expected) and all(
        tuple(copy.get(key)[1:]) == row for key, row in expected.items()
    )
    with pytest.raises(ValueError):
        copy.load_shard(0, bytes(100))
