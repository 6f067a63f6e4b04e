"""DNS SRV records as a source of cache servers, with priorities and weights (RFC 2782)."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Optional

from corkshift import seam
from corkshift.seam import now_ms
from corkshift.sources import Sink
from corkshift.sources.message import SrvRecord
from corkshift.sources.options import DnsTable
from corkshift.sources.resolver import CachedAnswer, LookupFailed, Resolver, parse_resolv_conf
from forkweir.known.membership import Claim

log = logging.getLogger(__name__)

REFRESH_AHEAD = 0.25  # answers are renewed in the last quarter of their lifetime
# Random delay of a renewal, as a share of the shortest lifetime: without it all nodes would query
# at the same instant, lifetime after lifetime.
JITTER_SHARE = 0.15
RETRY_S = 1.0  # after a failure, doubled with each consecutive failure
MAX_RETRY_S = 30.0
MAX_CONCURRENT_LOOKUPS = 8  # look-ups of target addresses
MAX_TARGETS = 1_024
# Weight, relative to the mean of its priority, of a record of weight 0 among others with a weight
# ("a very small chance of being selected", RFC 2782).
MIN_WEIGHT = 0.05


class DnsSource:
    """Resolves the service, renews its records before they expire, and reports them to a sink."""

    def __init__(self, sink: Sink, options: DnsTable, seed: int) -> None:
        """Raises OSError where the file that names the resolvers can't be read."""
        self._sink = sink
        self._random = random.Random(f"dns/{seed}")
        self._options = options
        self.resolver = Resolver(
            self._resolver_addresses(options), options.limits(), seam.random_bytes
        )
        self._task: Optional[asyncio.Task[None]] = None
        self._failures = 0
        self._last_answer_ms = 0.0  # when a resolver last answered; 0 without records in use

    @staticmethod
    def _resolver_addresses(options: DnsTable) -> list[tuple[str, int]]:
        return options.addresses() or parse_resolv_conf(
            seam.read_file(options.resolv_conf).decode(errors="replace")
        )

    def start(self) -> None:
        """Start to resolve in the background."""
        self._task = asyncio.create_task(self._run())

    def close(self) -> None:
        """Stop; a pending query is cancelled."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def reload(self, options: DnsTable) -> None:
        """Use other resolvers, limits or another service from now on; a pending query is cancelled.

        Raises OSError where the file that names the resolvers can't be read.
        """
        resolvers = self._resolver_addresses(options)
        self.close()
        if options.service == self._options.service and options.limits() == self._options.limits():
            self.resolver.set_servers(resolvers)
        else:
            self.resolver = Resolver(resolvers, options.limits(), seam.random_bytes)
        self._options = options
        self._failures = 0
        self.start()

    async def _run(self) -> None:
        while True:
            try:
                wait_s = await self.refresh()
                self._failures = 0
            except LookupFailed as error:
                if (
                    self._last_answer_ms
                    and now_ms() - self._last_answer_ms > 1_000.0 * self._options.old_s
                ):
                    self._last_answer_ms = 0.0
                    # Older than `old_s` allows. The merge ensures that this does not empty the set.
                    self._sink.update("dns", [])
                self._sink.failed("dns", str(error))
                wait_s = self._retry_delay_s()
            except Exception:
                log.exception("dns: internal error in a refresh of the SRV records; retrying")
                self._sink.failed("dns", "internal error of the node; see its log")
                wait_s = self._retry_delay_s()
            await asyncio.sleep(wait_s)

    def _retry_delay_s(self) -> float:
        self._failures = min(10, self._failures + 1)
        return min(MAX_RETRY_S, RETRY_S * 2.0 ** (self._failures - 1)) * (
            0.5 + self._random.random()
        )

    async def refresh(self) -> float:
        """Look up the records once and report them; the delay until the next refresh, in s.

        Raises LookupFailed where there is nothing new to report.
        """
        srv_answer = await self.resolver.lookup(self._options.service, "SRV", REFRESH_AHEAD)
        if srv_answer.stale and self._last_answer_ms:
            raise LookupFailed("no resolver answers; old records are served")
        records = srv_answer.answer.srv_records[:MAX_TARGETS]
        if len(srv_answer.answer.srv_records) > MAX_TARGETS:
            log.warning(
                "dns: %d SRV records, using the first %d",
                len(srv_answer.answer.srv_records),
                MAX_TARGETS,
            )
        if any(record.target == "." for record in records):
            # RFC 2782: "the service is decidedly not available at this domain".
            log.info("dns: the service is not available (the SRV target is the root)")
            records = ()
        targets = sorted({record.target for record in records})
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_LOOKUPS)

        async def address(target: str) -> CachedAnswer | LookupFailed:
            async with semaphore:
                try:
                    return await self.resolver.lookup(target, "A", REFRESH_AHEAD)
                except (LookupFailed, ValueError) as error:
                    return LookupFailed(str(error))

        lookups = dict(zip(targets, await asyncio.gather(*map(address, targets)), strict=True))
        answers = [
            srv_answer,
            *(lookup for lookup in lookups.values() if isinstance(lookup, CachedAnswer)),
        ]
        failures = [str(lookup) for lookup in lookups.values() if isinstance(lookup, LookupFailed)]
        if failures and len(failures) == len(targets):
            raise LookupFailed(failures[0])
        # A target whose addresses can't be looked up at the moment is not treated as removed.
        self._sink.update("dns", claims_from_records(records, lookups), full=not failures)
        stale = [lookup for lookup in answers if lookup.stale]
        self._last_answer_ms = self._last_answer_ms if srv_answer.stale else now_ms()
        if failures or stale:
            self._sink.failed(
                "dns", failures[0] if failures else "no resolver answers; old records are served"
            )
            return self._retry_delay_s()
        refresh_ms = min(
            lookup.expires_ms - REFRESH_AHEAD * lookup.lifetime_s * 1000.0 for lookup in answers
        )
        shortest_s = min(lookup.lifetime_s for lookup in answers)
        return (
            max(0.0, (refresh_ms - now_ms()) / 1000.0)
            + 0.01
            + JITTER_SHARE * shortest_s * self._random.random()
        )


def claims_from_records(
    records: tuple[SrvRecord, ...], lookups: dict[str, CachedAnswer | LookupFailed]
) -> list[Claim]:
    """The boxes that SRV records name.

    Weights are relative to the mean weight of their priority and are split evenly among the
    addresses of a target.
    """
    claims = []
    sums: dict[int, tuple[int, int]] = {}
    for record in records:
        total, count = sums.get(record.priority, (0, 0))
        sums[record.priority] = total + record.weight, count + 1
    for record in records:
        total, count = sums[record.priority]
        weight = max(MIN_WEIGHT, record.weight * count / total) if total else 1.0
        lookup = lookups[record.target]
        addresses = lookup.answer.addresses if isinstance(lookup, CachedAnswer) else ()
        for address in addresses:
            claims.append(
                Claim(
                    (address, record.port), weight=weight / len(addresses), priority=record.priority
                )
            )
    return [claim for claim in claims if 0 < claim.address[1] < 65_536]
