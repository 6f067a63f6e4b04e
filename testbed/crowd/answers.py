"""Plays answers of given forms through a node, and tells how each reached its client."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import Optional

from testbed.crowd.clients import READ_BYTES, connect, request_head, status_of
from testbed.crowd.run import World
from testbed.crowd.servers import AnswerSpec, End, Framing

# A client stops waiting for more of an answer after this.
SILENCE_LIMIT_S = 14.0
# Sizes that are streamed, in bytes.
SMALLEST_SIZE, LARGEST_SIZE = 66_000, 8_000_000
FRAMINGS = tuple(Framing)
SLOW_SIZE = 160_000
SLOW_REST_MS = 1_200


@dataclass(frozen=True, slots=True)
class AnswerResult:
    """How an answer reached its client.

    first_ms: from the request to the first byte of the answer. end_ms: from the request to its
    end. seen_after_ms: for a broken answer, from the break to the client's end of the connection;
    None if the client never saw it. body_bytes: of the body, with its framing.
    """

    spec: AnswerSpec
    txn: str
    status: int
    whole: bool
    body_bytes: int
    first_ms: float
    end_ms: float
    seen_after_ms: Optional[float] = None

    def __str__(self) -> str:
        seen = "" if self.seen_after_ms is None else f", end seen after {self.seen_after_ms:.0f} ms"
        return (
            f"{self.spec} {self.txn}: {self.status}, {'whole' if self.whole else 'not whole'}, "
            f"{self.body_bytes} bytes, first after {self.first_ms:.0f} ms, ended after "
            f"{self.end_ms:.0f} ms{seen}"
        )


def slow_answers() -> list[AnswerSpec]:
    """Answers whose servers rest behind the head or the first bytes for longer than a promise."""
    return [
        AnswerSpec(framing, SLOW_SIZE, first_bytes, SLOW_REST_MS)
        for framing in FRAMINGS
        for first_bytes in (0, 9_000, 24_000)
    ]


def drawn_answers(count: int, seed: int) -> list[AnswerSpec]:
    """Large answers of drawn sizes, framings and rests, all with first bytes at once."""
    rng = random.Random(f"answers/{seed}")
    return [
        AnswerSpec(
            rng.choice(FRAMINGS),
            int(SMALLEST_SIZE * (LARGEST_SIZE / SMALLEST_SIZE) ** rng.random()),
            rng.choice((0, 1, 500, 9_000, 60_000)),
            rng.randrange(0, 1_900),
            rng.choice((0, 20, 4_000)),
        )
        for _ in range(count)
    ]


def broken_answers(count: int, seed: int, chunk_bytes: int = 20) -> list[AnswerSpec]:
    """Answers that break off behind more than what is buffered, in all forms in turn."""
    rng = random.Random(f"broken/{seed}")
    ends = (End.FIN, End.RESET, End.NOISE)
    forms = [(Framing.CHUNKED, end) for end in ends]
    forms += [(Framing.LENGTH, end) for end in ends[:2]] + [(Framing.CLOSE, End.RESET)]
    answers = []
    for number in range(count):
        framing, end = forms[number % len(forms)]
        size = rng.randrange(70_000, 200_000)
        answers.append(AnswerSpec(framing, size, size, 0, chunk_bytes, end))
    return answers


async def ask_all(
    made: World, specs: list[AnswerSpec], prefix: str, at_once: int = 40
) -> list[AnswerResult]:
    """Ask for all answers, `at_once` at a time. prefix: of the request ids."""
    room = asyncio.Semaphore(at_once)

    async def ask(number: int, spec: AnswerSpec) -> AnswerResult:
        async with room:
            return await ask_one(made, spec, f"{prefix}{number}")

    return list(await asyncio.gather(*(ask(n, spec) for n, spec in enumerate(specs))))


async def ask_one(made: World, spec: AnswerSpec, txn: str) -> AnswerResult:
    """Ask for one answer on a new connection."""
    loop = asyncio.get_running_loop()
    sock = await connect(made.node.port)
    key = spec.key(sum(txn.encode()))
    started_s = loop.time()
    first_s = 0.0
    data = bytearray()
    ended = False
    with sock:
        try:
            async with asyncio.timeout(SILENCE_LIMIT_S) as silence:
                await loop.sock_sendall(sock, request_head(txn, key, more="Connection: close\r\n"))
                while piece := await loop.sock_recv(sock, READ_BYTES):
                    first_s = first_s or loop.time()
                    data += piece
                    silence.reschedule(loop.time() + SILENCE_LIMIT_S)
            ended = True
        except TimeoutError:
            pass
        except OSError:
            ended = True
    ended_s = loop.time()
    broken_s = next((s.broken_s[txn] for s in made.servers if txn in s.broken_s), None)
    head, _, body = bytes(data).partition(b"\r\n\r\n")
    return AnswerResult(
        spec,
        txn,
        status_of(head),
        spec.end is End.WHOLE and _body_size(head, body) == spec.size,
        len(body),
        1_000.0 * ((first_s or ended_s) - started_s),
        1_000.0 * (ended_s - started_s),
        None if broken_s is None or not ended else max(0.0, 1_000.0 * (ended_s - broken_s)),
    )


def _body_size(head: bytes, body: bytes) -> int:
    """The size of a body without its framing; -1 if it is not whole."""
    lines = head.lower().split(b"\r\n")
    if b"transfer-encoding: chunked" not in lines:
        lengths = [int(line[16:]) for line in lines if line.startswith(b"content-length: ")]
        return len(body) if not lengths or lengths[0] == len(body) else -1
    size = 0
    while body:
        row, _, body = body.partition(b"\r\n")
        if not (chunk := int(row, 16)):
            return size if body == b"\r\n" else -1
        size, body = size + chunk, body[chunk + 2 :]
    return -1
