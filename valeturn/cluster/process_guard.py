"""Runs one command for a duty and sees to it that it ends with the lease, whatever becomes of the server.

A program of its own, started as `python -I -S guard.py PATIENCE COMMAND` so that a server that is stopped,
slow or gone does not leave its command running: standard input brings "until SECONDS" lines by the boot
clock; at that moment, less what ending takes, the command gets TERM, then KILL, and with it all that it
started, also what left its group. The end of input is the end of the server: the command ends at once.

Standard output brings one JSON line at the end: code or signal, why, and the last of what it printed.
"""

import ctypes
import json
import os
import select
import signal
import subprocess
import sys
import time

TAIL = 2000  # bytes kept, as cluster/limits.py has it
KILLED = 0.15  # of the last lease told, before its end, at which all is killed: see dutyoptions
SUBREAPER, DIE_WITH_PARENT = 36, 1  # prctl's
LOOK = 0.02  # s between looks: a tenth of what is set aside for ending at the shortest lease


def now():
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def children_of(roots):
    """All processes below these, from /proc: those that left the group too, as they come to this process."""
    parents = {}
    for entry in os.listdir("/proc"):
        if entry.isdigit():
            try:
                with open(f"/proc/{entry}/stat", "rb") as file:
                    rest = file.read().rpartition(b")")[2].split()
            except OSError:
                continue
            if rest[0] != b"Z":
                parents.setdefault(int(rest[1]), []).append(int(entry))
    found, todo = [], list(roots)
    while todo:
        for child in parents.get(todo.pop(), ()):
            found.append(child)
            todo.append(child)
    return found


def send(number):
    """To all that the command started; True where there was one."""
    there = children_of([os.getpid()])
    for process in there:
        try:
            os.kill(process, number)
        except OSError:
            pass
    return bool(there)


def main(patience, command):
    libc = ctypes.CDLL(None, use_errno=True)
    libc.prctl(SUBREAPER, 1, 0, 0, 0)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)  # the server's word alone ends it; ignoring would be inherited
    output, theirs = os.pipe()
    child = subprocess.Popen(
        ["/bin/sh", "-c", command],
        stdin=subprocess.DEVNULL,
        stdout=theirs,
        stderr=theirs,
        start_new_session=True,
        preexec_fn=lambda: libc.prctl(DIE_WITH_PARENT, signal.SIGKILL, 0, 0, 0),
        restore_signals=True,
    )
    os.close(theirs)
    poller = select.poll()
    poller.register(0, select.POLLIN)
    poller.register(output, select.POLLIN)
    tail, held, until, told_at = b"", b"", now() + 1.0, now()
    term_at = kill_at = None
    termed = False
    why, code = "ended", None
    while True:
        for descriptor, _ in poller.poll(1000 * LOOK):
            data = os.read(descriptor, 65536)
            if not data:
                poller.unregister(descriptor)
                if descriptor == 0:  # the server is gone
                    why, term_at, kill_at = "server gone", now(), now()
            elif descriptor == output:
                tail = (tail + data)[-TAIL:]
            else:
                *lines, held = (held + data).split(b"\n")
                for line in lines:
                    word, _, value = line.partition(b" ")
                    if word == b"until":
                        until, told_at = float(value), now()
                    elif word == b"stop" and term_at is None:
                        why, term_at, kill_at = "told to stop", now(), now() + patience
        moment, margin = now(), KILLED * max(0.0, until - told_at)
        if kill_at is None and moment >= until - margin - patience:
            why, term_at, kill_at = "lease over", moment, min(moment + patience, until - margin)
        if kill_at is not None:
            kill_at = min(kill_at, max(term_at, until - margin))
        if term_at is not None and moment >= kill_at:
            send(signal.SIGKILL)
        elif term_at is not None and not termed:
            termed = send(signal.SIGTERM)
        while True:  # what came to this process when its parent ended is reaped too
            try:
                process, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                break
            if process == 0:
                break
            if process == child.pid:
                code = os.waitstatus_to_exitcode(status)
                child.returncode = code
        if code is not None and not children_of([os.getpid()]):
            break
        if code is not None and term_at is None:  # it ended and left others behind: they end with it
            term_at, kill_at = moment, moment + min(patience, max(0.0, until - margin - moment))
    while select.select([output], [], [], 0)[0]:
        data = os.read(output, 65536)
        if not data:
            break
        tail = (tail + data)[-TAIL:]
    print(json.dumps({"code": code, "why": why, "tail": tail.decode(errors="replace")[-TAIL:]}), flush=True)


if __name__ == "__main__":
    main(float(sys.argv[1]), sys.argv[2])
