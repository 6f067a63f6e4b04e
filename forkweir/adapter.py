"""The simulator's wire: decode events, route them to instances, encode actions."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, BinaryIO

import orjson

from forkweir.choice import Balancer
from forkweir.settings import Action, ClassSpec, Server, Settings

if TYPE_CHECKING:
    from forkweir.tier.tier import Send, Tier

STATES = {"IN": "in", "LAME": "draining", "OUT": "gone"}
FORMS = {"SAVED": "saved", "FULL": "full", "INCREMENTAL": "changes", "FAILED": "failed"}
WORDS = {
    "attempt": "ATTEMPT",
    "refuse": "BOUNCE",
    "fail": "FAIL",
    "cancel": "ABORT_ATTEMPT",
    "timer": "SET_ALARM",
    "probe": "PROBE",
    "follow": "FOLLOW",
    "log": "LOG",
    "publish": "PUBLISH",
}
TIER_TIMER = 4  # token of the timer on which an instance's tier is asked again


class Malformed(Exception):
    """The input breaks the wire's form."""


def given(options: dict[str, Any], key: str, default: Any) -> Any:
    """A figure as it is stated, also where it is 0; the default where none is."""
    value = options.get(key)
    return default if value is None else value


def settings_of(options: dict[str, Any]) -> Settings:
    """Settings in the library's terms; unknown keys are skipped, absent ones get defaults."""
    allowed = options.get("allowed") or {}
    contract = options.get("contract") or {}
    specifics = options.get("specifics") or {}
    kinds = options.get("kinds") or []
    at = specifics.get("originKind", -1)
    classes = tuple(
        ClassSpec(
            name=c.get("name", ""),
            aim_ms=c.get("promiseMs") or c.get("deadlineMs") or 1000.0,
            deadline_ms=c.get("deadlineMs") or 1000.0,
            repeat=c.get("idempotency") or "unsafe",
            group=c.get("group") or "",
            repeat_window_ms=c.get("windowMs") or 0.0,
            late_worth=c.get("lateValue") or 0.0,
            worth=given(c, "worth", 1.0),
            aim_stretch=c.get("aimStretch") or 0.0,
        )
        for c in options.get("services") or []
    )
    return Settings(
        classes=classes,
        zone=options.get("zone") or "",
        asked=options.get("discovery") == "subscribe",
        ask_within_ms=given(contract, "mustAskInMs", 10_000.0),
        max_attempts=allowed.get("mostTries") or 1,
        may_cancel=bool(allowed.get("mayCancel")),
        second_copies=bool(allowed.get("parallelTries", True)),
        may_probe=bool(allowed.get("probes")),
        backoff_max_ms=(allowed.get("maxRetryAfterMs") or 0.0)
        if allowed.get("retryAfter")
        else 0.0,
        cold_from=given(contract, "coldFrom", 0.1),
        cold_ms=given(contract, "coldMs", 30_000.0),
        fall_multiple=contract.get("fallMultiple") or 4.0,
        tick_ms=options.get("granularityMs") or 1.0,
        aside=specifics.get("mode") == "aside",
        origin_kind=kinds[at] if 0 <= at < len(kinds) else "",
        columns=tuple((options.get("loadReport") or {}).get("columns") or ()),
        reports=(options.get("loadReport") or {}).get("how") or "off",
        weighted=options.get("weights", "off") not in ("off", "live"),
    )


def server_of(row: list[Any]) -> Server:
    """One entry of a list."""
    row = row + [None] * (7 - len(row))
    name, zone, kind, cell, state, weight, started = row[:7]
    return Server(
        name,
        zone or "",
        kind or "",
        cell or 0,
        STATES[state],
        1.0 if weight is None else weight,
        started or 0.0,
    )


def said(sends: list[Send]) -> list[Action]:
    """Datagrams of a tier, as actions."""
    return [("publish", slot, data.hex()) for slot, data in sends]


class Adapter:
    """The instances of one process; they share nothing but the pipe."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.lists: dict[int, list[Server]] = {}
        self.tiers: dict[int, Tier] = {}  # of instances that may talk to one another

    def event(self, now: float, message: list[Any]) -> tuple[int, list[Action]]:
        """Pass one event to its instance."""
        name = message[0]
        if name == "MANIFEST":
            self.lists[message[1]] = [server_of(row) for row in message[2]]
            return -1, []
        i = message[1]
        if name == "INIT":
            self.instances[i] = Balancer(settings_of(message[3]), message[2])
            return i, self._join(now, i, message[3], message[2])
        if name == "EXIT":
            self.instances.pop(i, None)
            self.tiers.pop(i, None)
            return i, []
        balancer = self.instances.get(i)
        if balancer is None:
            raise Malformed(f"event {name} for unknown instance {i}")
        if name == "REQUEST":
            m = message + [None] * (11 - len(message))
            return i, balancer.on_request(
                now,
                m[2],
                m[8] or "",
                m[10],
                m[5] or 0.0,
                m[6] or 0.0,
                m[4] or "",
                bool(m[9]),
                bool(m[3]),
            )
        if name == "ANSWER":
            m = message + [None] * (10 - len(message))
            return i, balancer.on_outcome(
                now, m[2], m[3], bool(m[4]), m[6], m[7], m[5] or 0.0, m[8] or 0, m[9]
            )
        if name == "MEMBERSHIP":
            form = FORMS[message[4]]
            return i, balancer.on_list(
                now, form, [] if form == "failed" else self.lists[message[3]]
            )
        if name == "TICK_DUE":
            return i, self._tick(now, i) if message[2] == TIER_TIMER else balancer.on_timer(
                now, message[2]
            )
        if name == "CLIENT_GONE":
            return i, balancer.on_departure(now, message[2])
        if name == "UNDER_WAY":
            return i, balancer.on_started(now, message[2], message[5], message[4])
        if name == "PEER":
            tier = self.tiers.get(i)
            return i, [] if tier is None else said(
                tier.receive(message[2], bytes.fromhex(message[3]), now)
            )
        if name == "PONG":
            m = message + [None] * (6 - len(message))
            return i, balancer.on_probe(now, m[3], m[2], m[4] or 0.0, m[5])
        return i, []

    def _join(self, now: float, i: int, options: dict[str, Any], seed: int) -> list[Action]:
        """Take part in the tier, where instances may talk to one another."""
        self.tiers.pop(i, None)
        if not (options.get("allowed") or {}).get("peers"):
            return []
        # Only there: what is off costs nothing.
        from forkweir.tier.balancer_adapter import BalancerAdapter
        from forkweir.tier.tier import Tier

        tier = Tier(
            options["slotNo"],
            options["balancers"],
            seed,
            int(now / 1000.0),
            now,
            tier=options.get("tier") or 0,
        )
        self.tiers[i] = BalancerAdapter(self.instances[i], tier).tier
        return self._tick(now, i)

    def _tick(self, now: float, i: int) -> list[Action]:
        from forkweir.tier.options import TICKS_PER_PERIOD

        tier = self.tiers[i]
        return [
            *said(tier.tick(now)),
            ("timer", TIER_TIMER, now + tier.options.period_ms / TICKS_PER_PERIOD),
        ]

    def run(self, source: BinaryIO, sink: BinaryIO) -> None:
        """Serve batches until the input ends."""
        now, batch, inside = 0.0, 0, False
        replies: list[bytes] = []
        for line in source:
            try:
                message = orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise Malformed(f"not JSON: {error}") from None
            if not isinstance(message, list) or not message or not isinstance(message[0], str):
                raise Malformed("a message is not an array that opens with its name")
            name = message[0]
            if (name == "BEGIN_BATCH") == inside:
                raise Malformed(f"unexpected {name}")
            try:
                if name == "BEGIN_BATCH":
                    now, batch, inside = float(message[1]), int(message[2]), True
                    continue
            except (IndexError, TypeError, ValueError):
                raise Malformed("BEGIN_BATCH without clock and number") from None
            if name == "YOUR_TURN":
                replies.append(orjson.dumps(["DONE", batch]))
                sink.write(b"\n".join(replies) + b"\n")
                sink.flush()
                replies, inside = [], False
                continue
            try:
                i, actions = self.event(now, message)
            except Malformed:
                raise
            except Exception as error:
                i = message[1] if len(message) > 1 and isinstance(message[1], int) else 0
                replies.append(orjson.dumps(["GIVE_IN", i, f"{type(error).__name__}: {error}"]))
                continue
            for action in actions:
                words = (
                    action[:3] if action[0] == "refuse" else action
                )  # this wire has no place for a cause
                replies.append(orjson.dumps([WORDS[str(action[0])], i, *words[1:]]))


def main() -> int:
    """Run on standard input and output."""
    try:
        Adapter().run(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as error:
        print(f"forkweir.adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
