"""Decoders of message bodies (RFC 9112, 6 and 7.1). Sans-I/O: bytes in, bytes of the body out.

All that one read brought comes out as one piece, however many chunks it held. One call decodes
MAX_CHUNKS_PER_CALL chunks at most, so that a peer which sends the smallest chunks can't hold the
event loop. Bytes that can't become a chunk are rejected as soon as they arrive.

Framing and errors are those of h11; tests/test_bodies.py compares the two.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from typing import Optional

MAX_CHUNKS_PER_CALL = 2_048
CRLF = b"\r\n"
# Chunks in a row with the same header from which they are decoded as a run, how many at once, and
# the largest for which that saves time.
MIN_RUN_CHUNKS = 16
MAX_RUN_CHUNKS = MAX_CHUNKS_PER_CALL // 8
MAX_RUN_CHUNK_BYTES = 512
# Limit of a chunk's header and of the trailer section.
MAX_CHUNK_HEADER_BYTES = 16_384

# Possessive quantifiers rule out backtracking, whatever the input.
_CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]{1,20}+)(?:[ \t]*+|;(?:[^\r\n]|\r(?!\n))*+)\r\n")
_PARTIAL_CHUNK_HEADER = re.compile(rb"[0-9A-Fa-f]{0,20}+(?:[ \t]*+\r?|;(?:[^\r\n]|\r(?!\n))*+)")
_BLANK_LINE = re.compile(rb"\n\r?\n")
_FIELD_LINES = re.compile(
    rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]++:[^\x00\r\n\v\f]*+\r?\n(?:[ \t][^\x00\r\n\v\f]*+\r?\n)*+)*+"
)


class MalformedBody(Exception):
    """A body that violates its framing or a limit."""


class IncompleteBody(ConnectionResetError):
    """The peer ended the connection before the end of a body."""


class BodyDecoder:
    """Decodes one body; `chunks` is the number of chunks of the last `decode`.

    complete: the end of the body has been decoded. decoded_bytes: how much of it has been.
    """

    __slots__ = ("complete", "chunks", "decoded_bytes", "_input")

    # Whether the connection goes on behind the body.
    ends_within_connection = True

    def __init__(self) -> None:
        self.complete = False
        self.chunks = 0
        self.decoded_bytes = 0
        self._input = b""

    @property
    def surplus(self) -> bytes:
        """What was received and not decoded; of a complete body, the bytes behind its end."""
        return self._input

    @property
    def has_undecoded_chunks(self) -> bool:
        """Whether the last `decode` stopped at MAX_CHUNKS_PER_CALL."""
        return self.chunks >= MAX_CHUNKS_PER_CALL and not self.complete

    def receive(self, data: bytes) -> None:
        """Add input; b"" stands for the end of the connection. Raises IncompleteBody."""
        if not data:
            raise IncompleteBody("connection closed before the end of the body")
        self._input = self._input + data if self._input else data

    def decode(self) -> bytes:
        """Return the bytes of the body in the input, b"" if there are none.

        Raises MalformedBody.
        """
        if self.complete:
            return b""
        piece = self._decode()
        self.decoded_bytes += len(piece)
        return piece

    def _decode(self) -> bytes:
        raise NotImplementedError


class LengthDecoder(BodyDecoder):
    """Decodes a body of known length."""

    __slots__ = ("_left",)

    def __init__(self, length: int) -> None:
        super().__init__()
        self._left = length
        self.complete = not length

    def _decode(self) -> bytes:
        piece, self._input = self._input[: self._left], self._input[self._left :]
        self._left -= len(piece)
        self.complete = not self._left
        self.chunks = 1 if piece else 0
        return piece


class UntilCloseDecoder(BodyDecoder):
    """Decodes a body that ends with its connection."""

    __slots__ = ()

    ends_within_connection = False

    def receive(self, data: bytes) -> None:
        """See BodyDecoder."""
        if data:
            super().receive(data)
        else:
            self.complete = True

    def _decode(self) -> bytes:
        piece, self._input = self._input, b""
        self.chunks = 1 if piece else 0
        return piece


class ChunkedDecoder(BodyDecoder):
    """Decodes a body in chunked coding (RFC 9112, 7.1). Extensions and trailers are dropped."""

    __slots__ = ("_left", "_footer", "_in_trailer")

    def __init__(self) -> None:
        super().__init__()
        self._left = 0  # bytes of the present chunk that are still to come
        self._footer = b""  # what has to come behind the bytes of the present chunk
        self._in_trailer = False

    def _decode(self) -> bytes:
        data, position = self._input, 0
        pieces: list[bytes] = []
        self.chunks = 0
        if self._left or self._footer:
            position = self._continue_chunk(data, position, pieces)
        if not (self._left or self._footer or self._in_trailer):
            position = self._read_chunks(data, position, pieces)
        self._input = data[position:]
        if self._in_trailer:
            self._read_trailer()
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _read_chunks(self, data: bytes, position: int, pieces: list[bytes]) -> int:
        """Decode chunks from the start of one; return the position behind what was decoded."""
        line, line_bytes, size = b"", 0, 0
        chunks, alike = self.chunks, 0
        while chunks < MAX_CHUNKS_PER_CALL:
            # Chunks in a row mostly have the same size, so the same header.
            if line and data.startswith(line, position):
                alike += 1
                if (
                    alike >= MIN_RUN_CHUNKS
                    and size <= MAX_RUN_CHUNK_BYTES
                    and chunks + MAX_RUN_CHUNKS <= MAX_CHUNKS_PER_CALL
                ):
                    found, position = _read_run(data, position, line, size)
                    pieces += found
                    chunks += len(found)
                    alike = MIN_RUN_CHUNKS if found else 0
                    continue
            else:
                alike = 0
                header = _CHUNK_HEADER.match(data, position)
                if header is None:
                    _check_partial_header(data, position)
                    break
                line, size = header[0], int(header[1], 16)
                line_bytes = len(line)
                if not size:
                    position += line_bytes
                    self._in_trailer = True
                    break
            start = position + line_bytes
            end = start + size
            if not data.startswith(CRLF, end):
                # The chunk is not all there, or its end is malformed.
                self._left, self._footer, self.chunks = size, CRLF, chunks
                return self._continue_chunk(data, start, pieces)
            pieces.append(data[start:end])
            position = end + len(CRLF)
            chunks += 1
        self.chunks = chunks
        return position

    def _continue_chunk(self, data: bytes, position: int, pieces: list[bytes]) -> int:
        """Decode the rest of a chunk and its footer; return the position behind them."""
        if self._left:
            piece = data[position : position + self._left]
            position += len(piece)
            self._left -= len(piece)
            if piece:
                pieces.append(piece)
                self.chunks += 1
        if not self._left:
            footer = data[position : position + len(self._footer)]
            if not self._footer.startswith(footer):
                raise MalformedBody("malformed end of a chunk")
            position += len(footer)
            self._footer = self._footer[len(footer) :]
        return position

    def _read_trailer(self) -> None:
        """Drop the trailer section once it is complete."""
        data = self._input
        if data[:1] == b"\n" or data[:2] == b"\r\n":
            end = 1 if data[:1] == b"\n" else 2
        elif (blank := _BLANK_LINE.search(data)) is not None:
            end = blank.end()
            if _FIELD_LINES.fullmatch(data, 0, blank.start() + 1) is None:
                raise MalformedBody("malformed trailer")
        elif len(data) > MAX_CHUNK_HEADER_BYTES:
            raise MalformedBody("trailer too long")
        else:
            return
        self._input = data[end:]
        self.complete = True


def _read_run(data: bytes, position: int, line: bytes, size: int) -> tuple[list[bytes], int]:
    """Decode chunks in a row that have the same header line; return them and the position behind.

    The regular expression engine takes a fraction of the time of a loop.
    """
    one = re.escape(line) + b"(.{%d})\r\n" % size
    run = re.compile(b"(?:%b){0,%d}+" % (one, MAX_RUN_CHUNKS), re.DOTALL).match(data, position)
    if run is None or run.end() == position:
        return [], position
    return re.compile(one, re.DOTALL).findall(data, position, run.end()), run.end()


def _check_partial_header(data: bytes, position: int) -> None:
    """Raise MalformedBody if what begins at a position can't become a chunk's header."""
    if _PARTIAL_CHUNK_HEADER.fullmatch(data, position) is None:
        raise MalformedBody(f"illegal chunk header: {data[position : position + 40]!r}")
    if len(data) - position > MAX_CHUNK_HEADER_BYTES:
        raise MalformedBody("chunk header too long")


def decoder_of(length: Optional[int], chunked: bool, until_close: bool = False) -> BodyDecoder:
    """Return the decoder of a body (RFC 9112, 6.3).

    until_close: a body with neither a length nor chunks ends with its connection; else it is empty.
    """
    if chunked:
        return ChunkedDecoder()
    if length is None and until_close:
        return UntilCloseDecoder()
    return LengthDecoder(length or 0)


async def next_piece(decoder: BodyDecoder, read: Callable[[], Awaitable[bytes]]) -> bytes:
    """Return the next bytes of a body, b"" at its end. read: returns the next input.

    Raises MalformedBody, IncompleteBody, and what `read` raises.
    """
    if decoder.has_undecoded_chunks:
        await asyncio.sleep(0.0)  # other connections have their turn
    while not (piece := decoder.decode()) and not decoder.complete:
        decoder.receive(await read())
    return piece
