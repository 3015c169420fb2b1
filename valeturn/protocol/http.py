"""An HTTP/1.1 client's bytes: a request out, an answer in. Incremental and bounded."""

from __future__ import annotations

from typing import NamedTuple

MOST_HEAD, MOST_BODY = 16384, 65536  # bytes: the services here answer with a few headers and 4 KiB at most
# Bytes of an answer with all that may stand round it: a body in chunks of a byte each. Who sends interim
# answers or trailers without an end would else keep its reader for ever, as it never has to wait.
MOST = MOST_HEAD + 6 * MOST_BODY


class Response(NamedTuple):
    status: int
    headers: dict
    body: bytes
    keep_alive: bool  # the connection may be used again


class Malformed(NamedTuple):
    reason: str


def request(method, path, host, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class ResponseDecoder:
    """Of one answer. `feed` returns a Response or a Malformed once there is one, else None; `end` tells it
    that the other side has closed."""

    def __init__(self):
        self.held, self.head, self.body, self.left, self.form = bytearray(), None, bytearray(), 0, "head"
        self.taken = 0

    def feed(self, data):
        self.held += data
        self.taken += len(data)
        try:
            while True:
                found = getattr(self, "_" + self.form)()
                if found is None and self.taken > MOST:
                    raise ValueError("answer too long")
                if found is not True:
                    return found or None
        except ValueError as error:
            return Malformed(str(error))

    def end(self):
        if self.form == "rest" and self.head is not None:
            return self._answer(False)
        return Malformed("closed before the answer was whole")

    # Each form takes what it can: True to go on with the next, None to wait, or the Response.

    def _line(self, most):
        end = self.held.find(b"\n")
        if end < 0 and len(self.held) > most or end > most:
            raise ValueError("line too long")
        if end < 0:
            return None
        line = bytes(self.held[:end]).rstrip(b"\r")
        del self.held[: end + 1]
        return line.decode("latin-1")

    def _head(self):
        end = self.held.find(b"\r\n\r\n")
        if end > MOST_HEAD or end < 0 and len(self.held) > MOST_HEAD:
            raise ValueError("head too long")
        if end < 0:
            return None
        first, *rest = bytes(self.held[:end]).decode("latin-1").split("\r\n")
        del self.held[: end + 4]
        version, _, status = first.partition(" ")
        if version not in ("HTTP/1.1", "HTTP/1.0") or not status[:3].isdigit() or status[3:4].strip():
            raise ValueError("no status line")
        headers = {}
        for line in rest:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise ValueError("header without a name")
            name, value = name.lower(), value.strip()
            if name == "content-length" and headers.get(name, value) != value:
                raise ValueError("two lengths")
            headers[name] = value
        code = int(status[:3])
        if 100 <= code < 200:  # an interim answer: the real one follows
            return True
        self.head = code, headers, version
        length = headers.get("content-length")
        if code in (204, 304):
            return self._answer()
        if "transfer-encoding" in headers:
            if headers["transfer-encoding"].lower() != "chunked":
                raise ValueError("unknown transfer coding")
            self.form = "chunk"
        elif length is not None:
            if not (length.isascii() and length.isdigit()):
                raise ValueError("unreadable length")
            self.left, self.form = int(length), "sized"
            if self.left > MOST_BODY:
                raise ValueError("body too long")
        else:
            self.form = "rest"
        return True

    def _sized(self):
        if len(self.held) < self.left:
            return None
        self.body += self.held[: self.left]
        del self.held[: self.left]
        return self._answer()

    def _rest(self):
        self.body += self.held
        self.held.clear()
        if len(self.body) > MOST_BODY:
            raise ValueError("body too long")

    def _chunk(self):
        line = self._line(1024)
        if line is None:
            return None
        size = line.partition(";")[0].strip()
        if not size or not set(size.lower()) <= set("0123456789abcdef"):
            raise ValueError("unreadable chunk size")
        self.left = int(size, 16)
        if len(self.body) + self.left > MOST_BODY:
            raise ValueError("body too long")
        self.form = "piece" if self.left else "trailer"
        return True

    def _piece(self):
        if len(self.held) < self.left + 2:
            return None
        if self.held[self.left : self.left + 2] != b"\r\n":
            raise ValueError("chunk without its end")
        self.body += self.held[: self.left]
        del self.held[: self.left + 2]
        self.form = "chunk"
        return True

    def _trailer(self):
        line = self._line(1024)
        if line is None:
            return None
        return True if line else self._answer()

    def _answer(self, sized=True):
        code, headers, version = self.head
        wish = headers.get("connection", "" if version == "HTTP/1.1" else "close").lower()
        keep = sized and "close" not in wish and not self.held
        return Response(code, headers, bytes(self.body), keep)
