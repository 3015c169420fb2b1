"""The client's side of HTTP/1.1: encodes a request, decodes the response incrementally and within bounds."""

from __future__ import annotations

from typing import NamedTuple

# Bytes: the ledger and the name service answer with a few headers and a body of 4 KiB at most.
MAX_HEAD_BYTES, MAX_BODY_BYTES = 16384, 65536
# Bytes of a response with all its framing; a body in chunks of one byte each takes six bytes for each.
# Without this bound a peer that sends interim responses or trailers without end would occupy its reader for
# ever: the reader never has to wait, so that its timeout never expires.
MAX_RESPONSE_BYTES = MAX_HEAD_BYTES + 6 * MAX_BODY_BYTES


class Response(NamedTuple):
    """A final response; interim ones are dropped."""

    status: int  # code
    headers: dict  # values by name in lower case; the last one of a repeated name
    body: bytes  # without transfer coding
    keep_alive: bool  # the connection may be used again


class Malformed(NamedTuple):
    """Bytes that are not a response, or exceed a bound."""

    reason: str


def request(method, path, host, headers=(), body=b""):
    """Encode a request; `host` is HOST:PORT and `headers` are further (name, value) pairs."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class ResponseDecoder:
    """Decodes one response that may be split anywhere.

    `state` names the part that comes next; the method `_read_<state>` decodes it. Each of these methods
    returns True where it has decoded its part, None to wait for more bytes, or the Response.
    """

    def __init__(self):
        self.buffer, self.head, self.body, self.bytes_left, self.state = (
            bytearray(),
            None,  # (status code, headers, version) once decoded
            bytearray(),
            0,  # of the sized body or of the chunk
            "head",
        )
        self.received = 0  # bytes in all

    def feed(self, data):
        """Take received bytes; return a Response or a Malformed once there is one, else None."""
        self.buffer += data
        self.received += len(data)
        try:
            while True:
                result = getattr(self, "_read_" + self.state)()
                if result is None and self.received > MAX_RESPONSE_BYTES:
                    raise ValueError("response too long")
                if result is not True:
                    return result or None
        except ValueError as error:
            return Malformed(str(error))

    def end(self):
        """Return the result when the peer has closed the connection: a body without a length ends with it."""
        if self.state == "body_until_close" and self.head is not None:
            return self._response(False)
        return Malformed("connection closed before the response was complete")

    def _line(self, maximum):
        """Remove a line of at most `maximum` bytes from the buffer and return it, or None to wait for it."""
        end = self.buffer.find(b"\n")
        if end < 0 and len(self.buffer) > maximum or end > maximum:
            raise ValueError("line too long")
        if end < 0:
            return None
        line = bytes(self.buffer[:end]).rstrip(b"\r")
        del self.buffer[: end + 1]
        return line.decode("latin-1")

    def _read_head(self):
        """Decode the status line and the headers, and choose how the body is delimited."""
        end = self.buffer.find(b"\r\n\r\n")
        if end > MAX_HEAD_BYTES or end < 0 and len(self.buffer) > MAX_HEAD_BYTES:
            raise ValueError("head too long")
        if end < 0:
            return None
        first, *rest = bytes(self.buffer[:end]).decode("latin-1").split("\r\n")
        del self.buffer[: end + 4]
        version, _, status = first.partition(" ")
        if version not in ("HTTP/1.1", "HTTP/1.0") or not status[:3].isdigit() or status[3:4].strip():
            raise ValueError("invalid status line")
        headers = {}
        for line in rest:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise ValueError("header without a name")
            name, value = name.lower(), value.strip()
            if name == "content-length" and headers.get(name, value) != value:
                raise ValueError("contradictory content lengths")
            headers[name] = value
        code = int(status[:3])
        if 100 <= code < 200:  # an interim response: the final one follows
            return True
        self.head = code, headers, version
        length = headers.get("content-length")
        if code in (204, 304):  # never have a body
            return self._response()
        if "transfer-encoding" in headers:
            if headers["transfer-encoding"].lower() != "chunked":
                raise ValueError("unknown transfer coding")
            self.state = "chunk_size"
        elif length is not None:
            if not (length.isascii() and length.isdigit()):
                raise ValueError("invalid content length")
            self.bytes_left, self.state = int(length), "sized_body"
            if self.bytes_left > MAX_BODY_BYTES:
                raise ValueError("body too long")
        else:
            self.state = "body_until_close"
        return True

    def _read_sized_body(self):
        """Read a body whose length the headers give."""
        if len(self.buffer) < self.bytes_left:
            return None
        self.body += self.buffer[: self.bytes_left]
        del self.buffer[: self.bytes_left]
        return self._response()

    def _read_body_until_close(self):
        """Read a body that only the end of the connection ends; `end` returns the response then."""
        self.body += self.buffer
        self.buffer.clear()
        if len(self.body) > MAX_BODY_BYTES:
            raise ValueError("body too long")

    def _read_chunk_size(self):
        """Read the line before a chunk; a size of 0 is followed by the trailer."""
        line = self._line(1024)  # bytes; ample for a size with its extensions
        if line is None:
            return None
        size = line.partition(";")[0].strip()
        if not size or not set(size.lower()) <= set("0123456789abcdef"):
            raise ValueError("invalid chunk size")
        self.bytes_left = int(size, 16)
        if len(self.body) + self.bytes_left > MAX_BODY_BYTES:
            raise ValueError("body too long")
        self.state = "chunk_data" if self.bytes_left else "trailer"
        return True

    def _read_chunk_data(self):
        """Read a chunk and the end of its line."""
        if len(self.buffer) < self.bytes_left + 2:
            return None
        if self.buffer[self.bytes_left : self.bytes_left + 2] != b"\r\n":
            raise ValueError("chunk without its end")
        self.body += self.buffer[: self.bytes_left]
        del self.buffer[: self.bytes_left + 2]
        self.state = "chunk_size"
        return True

    def _read_trailer(self):
        """Skip a line of the trailer; an empty one ends the response."""
        line = self._line(1024)  # bytes
        if line is None:
            return None
        return True if line else self._response()

    def _response(self, delimited=True):
        """Build the Response; `delimited` is False where only the end of the connection ended it."""
        code, headers, version = self.head
        connection = headers.get("connection", "" if version == "HTTP/1.1" else "close").lower()
        keep_alive = delimited and "close" not in connection and not self.buffer
        return Response(code, headers, bytes(self.body), keep_alive)
