"""DNS SRV records as a source (RFC 2782): who serves, at which priority, with what weight."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Optional

from corkshift import seam
from corkshift.seam import now_ms
from corkshift.sources import Sink
from corkshift.sources.message import Service
from corkshift.sources.options import DnsTable
from corkshift.sources.resolver import Kept, LookupFailed, Resolver, servers_of
from forkweir.known.membership import Claim

log = logging.getLogger(__name__)

AHEAD = 0.25  # an answer is renewed in the last quarter of its lifetime,
JITTER = 0.15  # of which so much is drawn (guards against all nodes asking in the same instant, lifetime after lifetime)
AGAIN_S = 1.0  # after a failure, doubled with each in a row
AGAIN_MOST_S = 30.0
AT_ONCE = 8  # look-ups of targets at a time
MOST_TARGETS = 1_024
LEAST_WEIGHT = 0.05  # of the mean: of a record of weight 0 among others that have one ("very small chance", RFC 2782)


class DnsSource:
    """Resolves the service ahead of the end of its records' lifetimes, and tells what they say."""

    def __init__(self, sink: Sink, options: DnsTable, seed: int) -> None:
        """OSError where the resolvers are to be read from a file that can't be."""
        self._sink = sink
        self._random = random.Random(f"dns/{seed}")
        self._options = options
        self.resolver = Resolver(self._resolvers(options), options.limits(), seam.entropy)
        self._task: Optional[asyncio.Task[None]] = None
        self._failures = 0
        self._good_ms = 0.0  # when a resolver last answered; 0 where nothing of it stands

    @staticmethod
    def _resolvers(options: DnsTable) -> list[tuple[str, int]]:
        return options.addresses() or servers_of(
            seam.read_file(options.resolv_conf).decode(errors="replace")
        )

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def reload(self, options: DnsTable) -> None:
        """Other resolvers, bounds or another name from now on; a query that is out is given up. OSError as at the start."""
        resolvers = self._resolvers(options)
        self.close()
        if options.service == self._options.service and options.limits() == self._options.limits():
            self.resolver.move(resolvers)
        else:
            self.resolver = Resolver(resolvers, options.limits(), seam.entropy)
        self._options = options
        self._failures = 0
        self.start()

    async def _run(self) -> None:
        while True:
            try:
                wait_s = await self.once()
                self._failures = 0
            except LookupFailed as error:
                if self._good_ms and now_ms() - self._good_ms > 1_000.0 * self._options.old_s:
                    self._good_ms = 0.0
                    self._sink.tell(
                        "dns", []
                    )  # too old by what the operator says; the merge sees that this empties nothing
                self._sink.failed("dns", str(error))
                wait_s = self._back_off()
            except Exception:
                log.exception("a round of DNS failed")
                self._sink.failed("dns", "a fault of the node; the log has it")
                wait_s = self._back_off()
            await asyncio.sleep(wait_s)

    def _back_off(self) -> float:
        self._failures = min(10, self._failures + 1)
        return min(AGAIN_MOST_S, AGAIN_S * 2.0 ** (self._failures - 1)) * (
            0.5 + self._random.random()
        )

    async def once(self) -> float:
        """One round: look up, tell, and how long until the next, in s. LookupFailed where there is nothing new to tell."""
        service = await self.resolver.look_up(self._options.service, "SRV", AHEAD)
        if service.old and self._good_ms:
            raise LookupFailed("no resolver answers; old records are served")
        records = service.answer.services[:MOST_TARGETS]
        if len(service.answer.services) > MOST_TARGETS:
            log.warning(
                "dns: %d records, %d are heeded", len(service.answer.services), MOST_TARGETS
            )
        if any(record.target == "." for record in records):
            log.info(
                "dns: the service is not offered (its target is the root)"
            )  # RFC 2782: "decidedly not available at this domain"
            records = ()
        targets = sorted({record.target for record in records})
        room = asyncio.Semaphore(AT_ONCE)

        async def address(target: str) -> Kept | LookupFailed:
            async with room:
                try:
                    return await self.resolver.look_up(target, "A", AHEAD)
                except (LookupFailed, ValueError) as error:
                    return LookupFailed(str(error))

        found = dict(zip(targets, await asyncio.gather(*map(address, targets)), strict=True))
        kept = [service, *(one for one in found.values() if isinstance(one, Kept))]
        lost = [str(one) for one in found.values() if isinstance(one, LookupFailed)]
        if lost and len(lost) == len(targets):
            raise LookupFailed(lost[0])
        # A target whose addresses can't be had just now is not gone.
        self._sink.tell("dns", claims_of(records, found), full=not lost)
        old = [one for one in kept if one.old]
        self._good_ms = self._good_ms if service.old else now_ms()
        if lost or old:
            self._sink.failed(
                "dns", lost[0] if lost else "no resolver answers; old records are served"
            )
            return self._back_off()
        due = min(one.ends_ms - AHEAD * one.held_s * 1000.0 for one in kept)
        shortest = min(one.held_s for one in kept)
        return (
            max(0.0, (due - now_ms()) / 1000.0) + 0.01 + JITTER * shortest * self._random.random()
        )


def claims_of(records: tuple[Service, ...], found: dict[str, Kept | LookupFailed]) -> list[Claim]:
    """The boxes that records name. Weights are those of RFC 2782 over the mean of their priority, shared by a target's addresses."""
    claims = []
    sums: dict[int, tuple[int, int]] = {}
    for record in records:
        total, count = sums.get(record.priority, (0, 0))
        sums[record.priority] = total + record.weight, count + 1
    for record in records:
        total, count = sums[record.priority]
        weight = max(LEAST_WEIGHT, record.weight * count / total) if total else 1.0
        one = found[record.target]
        addresses = one.answer.addresses if isinstance(one, Kept) else ()
        for address in addresses:
            claims.append(
                Claim(
                    (address, record.port), weight=weight / len(addresses), priority=record.priority
                )
            )
    return [claim for claim in claims if 0 < claim.address[1] < 65_536]
