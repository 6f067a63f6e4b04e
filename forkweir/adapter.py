"""The simulator's wire protocol: decodes events, routes them to instances and encodes actions.

Messages are lines of JSON arrays that begin with a name; the events of a batch lie between
BEGIN_BATCH and YOUR_TURN, and DONE ends the replies to it.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, BinaryIO

import orjson

from forkweir.choice import Balancer
from forkweir.settings import Action, ClassSpec, Server, Settings

if TYPE_CHECKING:
    from forkweir.tier.tier import Send, Tier

SERVER_STATES = {"IN": "in", "LAME": "draining", "OUT": "gone"}
LIST_FORMS = {"SAVED": "saved", "FULL": "full", "INCREMENTAL": "changes", "FAILED": "failed"}
ACTION_NAMES = {
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
TIER_TIMER = 4  # token of the timer on which an instance's tier ticks


class MalformedInput(Exception):
    """The input violates the wire protocol."""


def value_or_default(options: dict[str, Any], key: str, default: Any) -> Any:
    """Return the value of a key, also where it is 0; the default if it is missing or null."""
    value = options.get(key)
    return default if value is None else value


def settings_of(options: dict[str, Any]) -> Settings:
    """Decode the settings; unknown keys are ignored, missing ones get defaults."""
    allowed = options.get("allowed") or {}
    contract = options.get("contract") or {}
    specifics = options.get("specifics") or {}
    kinds = options.get("kinds") or []
    origin_index = specifics.get("originKind", -1)
    classes = tuple(
        ClassSpec(
            name=service.get("name", ""),
            aim_ms=service.get("promiseMs") or service.get("deadlineMs") or 1000.0,
            deadline_ms=service.get("deadlineMs") or 1000.0,
            repeat=service.get("idempotency") or "unsafe",
            group=service.get("group") or "",
            repeat_window_ms=service.get("windowMs") or 0.0,
            late_value=service.get("lateValue") or 0.0,
            value=value_or_default(service, "worth", 1.0),
            aim_stretch=service.get("aimStretch") or 0.0,
        )
        for service in options.get("services") or []
    )
    return Settings(
        classes=classes,
        zone=options.get("zone") or "",
        poll_list=options.get("discovery") == "subscribe",
        poll_within_ms=value_or_default(contract, "mustAskInMs", 10_000.0),
        max_attempts=allowed.get("mostTries") or 1,
        may_cancel=bool(allowed.get("mayCancel")),
        parallel_attempts=bool(allowed.get("parallelTries", True)),
        may_probe=bool(allowed.get("probes")),
        backoff_max_ms=(allowed.get("maxRetryAfterMs") or 0.0)
        if allowed.get("retryAfter")
        else 0.0,
        cold_start_capacity=value_or_default(contract, "coldFrom", 0.1),
        cold_ms=value_or_default(contract, "coldMs", 30_000.0),
        fall_multiple=contract.get("fallMultiple") or 4.0,
        tick_ms=options.get("granularityMs") or 1.0,
        cache_aside=specifics.get("mode") == "aside",
        origin_kind=kinds[origin_index] if 0 <= origin_index < len(kinds) else "",
        load_columns=tuple((options.get("loadReport") or {}).get("columns") or ()),
        load_reports=(options.get("loadReport") or {}).get("how") or "off",
        use_weights=options.get("weights", "off") not in ("off", "live"),
    )


def server_of(row: list[Any]) -> Server:
    """Decode one entry of a list; missing columns get defaults."""
    row = row + [None] * (7 - len(row))
    name, zone, kind, cell, state, weight, started = row[:7]
    return Server(
        name,
        zone or "",
        kind or "",
        cell or 0,
        SERVER_STATES[state],
        1.0 if weight is None else weight,
        started or 0.0,
    )


def publish_actions(sends: list[Send]) -> list[Action]:
    """Encode datagrams of a tier as actions."""
    return [("publish", slot, data.hex()) for slot, data in sends]


class Adapter:
    """The balancer instances of one process, which share only its input and output."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.manifests: dict[int, list[Server]] = {}
        self.tiers: dict[int, Tier] = {}  # only of instances that may talk to one another

    def event(self, now: float, message: list[Any]) -> tuple[int, list[Action]]:
        """Pass one event to its instance; return the instance's number and its actions.

        Raises MalformedInput if the instance is unknown.
        """
        name = message[0]
        if name == "MANIFEST":
            self.manifests[message[1]] = [server_of(row) for row in message[2]]
            return -1, []
        instance = message[1]
        if name == "INIT":
            self.instances[instance] = Balancer(settings_of(message[3]), message[2])
            return instance, self._join(now, instance, message[3], message[2])
        if name == "EXIT":
            self.instances.pop(instance, None)
            self.tiers.pop(instance, None)
            return instance, []
        balancer = self.instances.get(instance)
        if balancer is None:
            raise MalformedInput(f"event {name} for unknown instance {instance}")
        if name == "REQUEST":
            fields = message + [None] * (11 - len(message))
            return instance, balancer.on_request(
                now,
                fields[2],
                fields[8] or "",
                fields[10],
                fields[5] or 0.0,
                fields[6] or 0.0,
                fields[4] or "",
                bool(fields[9]),
                bool(fields[3]),
            )
        if name == "ANSWER":
            fields = message + [None] * (10 - len(message))
            return instance, balancer.on_outcome(
                now,
                fields[2],
                fields[3],
                bool(fields[4]),
                fields[6],
                fields[7],
                fields[5] or 0.0,
                fields[8] or 0,
                fields[9],
            )
        if name == "MEMBERSHIP":
            form = LIST_FORMS[message[4]]
            return instance, balancer.on_list(
                now, form, [] if form == "failed" else self.manifests[message[3]]
            )
        if name == "TICK_DUE":
            return instance, self._tick(now, instance) if message[
                2
            ] == TIER_TIMER else balancer.on_timer(now, message[2])
        if name == "CLIENT_GONE":
            return instance, balancer.on_departure(now, message[2])
        if name == "UNDER_WAY":
            return instance, balancer.on_started(now, message[2], message[5], message[4])
        if name == "PEER":
            tier = self.tiers.get(instance)
            return instance, [] if tier is None else publish_actions(
                tier.receive(message[2], bytes.fromhex(message[3]), now)
            )
        if name == "PONG":
            fields = message + [None] * (6 - len(message))
            return instance, balancer.on_probe(
                now, fields[3], fields[2], fields[4] or 0.0, fields[5]
            )
        return instance, []

    def _join(self, now: float, instance: int, options: dict[str, Any], seed: int) -> list[Action]:
        """Make an instance a member of its tier, where instances may talk to one another."""
        self.tiers.pop(instance, None)
        if not (options.get("allowed") or {}).get("peers"):
            return []
        # Imported here, so that sites without a tier don't load it.
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
        self.tiers[instance] = BalancerAdapter(self.instances[instance], tier).tier
        return self._tick(now, instance)

    def _tick(self, now: float, instance: int) -> list[Action]:
        from forkweir.tier.options import TICKS_PER_PERIOD

        tier = self.tiers[instance]
        return [
            *publish_actions(tier.tick(now)),
            ("timer", TIER_TIMER, now + tier.options.period_ms / TICKS_PER_PERIOD),
        ]

    def run(self, source: BinaryIO, sink: BinaryIO) -> None:
        """Process batches until the input ends. Raises MalformedInput."""
        now, batch, in_batch = 0.0, 0, False
        replies: list[bytes] = []
        for line in source:
            try:
                message = orjson.loads(line)
            except orjson.JSONDecodeError as error:
                raise MalformedInput(f"an input line is not JSON: {error}") from None
            if not isinstance(message, list) or not message or not isinstance(message[0], str):
                raise MalformedInput("a message must be a JSON array that begins with its name")
            name = message[0]
            if (name == "BEGIN_BATCH") == in_batch:
                raise MalformedInput(
                    f"message outside the order BEGIN_BATCH, events, YOUR_TURN: {name}"
                )
            try:
                if name == "BEGIN_BATCH":
                    now, batch, in_batch = float(message[1]), int(message[2]), True
                    continue
            except (IndexError, TypeError, ValueError):
                raise MalformedInput("BEGIN_BATCH needs a clock in ms and a batch number") from None
            if name == "YOUR_TURN":
                replies.append(orjson.dumps(["DONE", batch]))
                sink.write(b"\n".join(replies) + b"\n")
                sink.flush()
                replies, in_batch = [], False
                continue
            try:
                instance, actions = self.event(now, message)
            except MalformedInput:
                raise
            except Exception as error:
                instance = message[1] if len(message) > 1 and isinstance(message[1], int) else 0
                replies.append(
                    orjson.dumps(["GIVE_IN", instance, f"{type(error).__name__}: {error}"])
                )
                continue
            for action in actions:
                # The wire's BOUNCE has no field for the cause.
                fields = action[:3] if action[0] == "refuse" else action
                replies.append(orjson.dumps([ACTION_NAMES[str(action[0])], instance, *fields[1:]]))


def main() -> int:
    """Serve the wire on standard input and output; returns the exit status."""
    try:
        Adapter().run(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInput as error:
        print(f"forkweir.adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
