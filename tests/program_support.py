"""The example configuration, the program as a child process, and a gateway's side of its socket."""

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
    """The example with the value at a dotted path changed, or left out where it is ..."""
    raw = json.loads(json.dumps(CONFIG))
    *way, last = path.split(".")
    at = raw
    for step in way:
        at = at[int(step) if step.isdigit() else step]
    if value is ...:
        del at[last]
    else:
        at[last] = value
    return raw


def command(*words, **environment):
    keep = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    return subprocess.run(
        [sys.executable, "-m", "valeturn", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        env={**keep, **environment},
    )


def answers(sock, count):
    """Stream -> (code, body) of so many answers without fields, and the frames that are none."""
    data, got, others = b"", {}, []
    while len(got) < count:
        data += sock.recv(65536) or pytest.fail("closed")
        while len(data) >= 9 and len(data) >= 4 + struct.unpack_from("<I", data)[0]:
            length, kind, stream = struct.unpack_from("<IBI", data)
            if kind == 8:
                assert stream not in got, "two answers"
                got[stream] = data[9], data[11 : 4 + length]
            else:
                others.append(data[: 4 + length])
            data = data[4 + length :]
    return got, others


def submit(stream, workload):
    return submission(
        stream,
        op=workload,
        call=f"{stream:016x}",
        recv=str(int(1000 * time.time())),
        ttl="9000",
        body=b"parcel %d" % stream,
    )
