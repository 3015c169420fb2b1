"""The example configuration, commands run as child processes, and a gateway's side of a connection."""

import json
import os
import pathlib
import struct
import subprocess
import sys
import time

import pytest
from helpers import submission

ROOT = pathlib.Path(__file__).parent.parent
CONFIG = json.loads((ROOT / "examples/config.json").read_text())


def changed(path, value):
    """Return the example configuration with the value at a dotted path replaced, or removed if `...`."""
    raw = json.loads(json.dumps(CONFIG))
    *parents, last_key = path.split(".")
    container = raw
    for key in parents:
        container = container[int(key) if key.isdigit() else key]
    if value is ...:
        del container[last_key]
    else:
        container[last_key] = value
    return raw


def command(*words, **environment):
    """Run `valeturn` with these arguments; EDGE_ variables are taken from `environment` alone."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    return subprocess.run(
        [sys.executable, "-m", "valeturn", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={**inherited, **environment},
    )


def answers(sock, count):
    """Receive so many answers without fields; return (code, body) by stream, and all other frames."""
    data, received, other_frames = b"", {}, []
    while len(received) < count:
        data += sock.recv(65536) or pytest.fail("closed")
        while len(data) >= 9 and len(data) >= 4 + struct.unpack_from("<I", data)[0]:
            length, kind, stream = struct.unpack_from("<IBI", data)
            if kind == 8:
                assert stream not in received, "two answers"
                received[stream] = data[9], data[11 : 4 + length]
            else:
                other_frames.append(data[: 4 + length])
            data = data[4 + length :]
    return received, other_frames


def submit(stream, workload):
    """Return the frame of a submission whose body names its stream."""
    return submission(
        stream,
        op=workload,
        call=f"{stream:016x}",
        recv=str(int(1000 * time.time())),
        ttl="9000",
        body=b"parcel %d" % stream,
    )
