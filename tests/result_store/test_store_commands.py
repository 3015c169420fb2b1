"""The commands `valeturn store` on a directory."""

from memory_disk import Machine

from valeturn.result_store import commands, window_clock
from valeturn.result_store.directory import StoreDirectory
from valeturn.result_store.environment import StoreEnvironment, StoreSettings
from valeturn.result_store.opening import open_store
from valeturn.result_store.store import ResultStore
from valeturn.transport.worker_thread import InlineWorker


def test_verify_finds_damage_and_compact_keeps_all_keys(tmp_path):
    machine, files = Machine(), StoreDirectory(str(tmp_path))
    machine.limits = machine.limits._replace(segment=2000)
    assert files.prepare() and not StoreDirectory(str(tmp_path)).prepare()
    environment = StoreEnvironment(
        files, InlineWorker(), lambda: window_clock.read_clocks("b"), machine.count, lambda *_: None
    )
    store = machine.store = ResultStore(environment, StoreSettings(machine.limits, machine.retry, 30.0))
    store.collect()
    for number in range(1, 30):
        machine.complete(f"k{number}", number, b"body %d" % number)
    assert store.close(1.0)
    assert commands.main("verify", str(tmp_path)) == 0 and commands.main("inspect", str(tmp_path)) == 0
    assert commands.main("compact", str(tmp_path)) == 0 and commands.main("verify", str(tmp_path)) == 0
    opened = open_store(StoreDirectory(str(tmp_path)), window_clock.read_clocks("b"))
    assert opened.recovered.index.count == 29
    last = max(tmp_path.glob("*.log"))
    data = bytearray(last.read_bytes())
    data[data.index(b"body 7")] ^= 1
    last.write_bytes(data)
    assert commands.main("verify", str(tmp_path)) == 1
    assert commands.main("inspect", str(tmp_path / "none")) == 2
