"""The link to the executor: made again whenever it breaks, each notice passed on once."""

from __future__ import annotations

from ..protocol import executor as lines
from ..transport.chance import Backoff
from ..transport.streams import Trouble, connect
from .messages import LinkDown, LinkUp, NoticesMissed

PATIENCE = 2.0  # s for a connection to come about
SILENT = 5.0  # s without a line on a link that is asked for gauges ten times a second; pauses are far shorter
REPLAY_END = "joined"  # mark of the gauges that are asked for after a join: all missed notices come before


class ExecutorLink:
    def __init__(self, scheduler, address, chance, put, count):
        self.scheduler, self.address, self.put, self.count = scheduler, address, put, count
        self.backoff = Backoff(chance, 0.02, 0.5)
        self.stream, self.up, self.last, self.heard_at = None, False, 0, 0.0
        scheduler.spawn(self.run, name="executor")

    def send(self, line):
        """False while there is no link: the owner sends again what still matters after the next join."""
        return self.up and self.stream.write(line)

    def check(self):
        """Called at each wake-up, which asks for gauges: a link that has been silent since long is dead."""
        if self.up and self.scheduler.clock() - self.heard_at > SILENT:
            self.count("executor.silent")
            self.stream.close(Trouble.TIMED_OUT)

    def run(self):
        while True:
            made = connect(self.scheduler, self.address, PATIENCE)
            if not isinstance(made, Trouble):
                self.stream = made
                self.stream.write(lines.join(self.last))
                why = self.read_all()
                self.count("executor.link_ended." + why)
                self.stream.close()
            else:
                self.count("executor.connect." + made.name.lower())
            if self.up:
                self.up = False
                self.put(LinkDown())
            self.scheduler.sleep(self.backoff.next())

    def read_all(self):
        """Passes notices on until the link ends; says why it did."""
        decoder = lines.LineDecoder()
        while True:
            got = self.stream.read()
            if not isinstance(got, bytes):
                return got.name.lower()
            self.heard_at = self.scheduler.clock()
            for notice in decoder.feed(got):
                if isinstance(notice, lines.Malformed):
                    return "malformed"
                self.pass_on(notice)

    def pass_on(self, notice):
        number = getattr(notice, "number", None)
        if isinstance(number, int):
            if number <= self.last:
                self.count("executor.seen_before")
                return
            if number > self.last + 1:
                self.count("executor.notices_missed")
                self.put(NoticesMissed())
            self.last = number
        if isinstance(notice, lines.Welcomed):
            self.up = True
            self.put(LinkUp(notice.cold, notice.age))
            self.stream.write(lines.gauge(REPLAY_END))
        elif isinstance(notice, lines.Gauged) and notice.mark == REPLAY_END:
            self.backoff.reset()
            self.put(notice)
        elif isinstance(notice, lines.Remark):
            self.count("executor.remarks")
        else:
            self.put(notice)
