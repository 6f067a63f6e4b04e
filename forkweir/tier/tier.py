"""One node's part in the tier: datagrams and time in, datagrams out. Pure, no I/O, no clock.

Puts `members` and `lending` together. One node at a time is keeper; it calls all others each beat, they answer with what they want, and
its next call brings what they get. Who stands for keeper: the lowest of those that take part, where nobody has called for a while; the
next ones after it, later by their rank, so that a lowest one that reaches nobody holds nothing up. A candidate steps back for a lower one
that calls; one that gets no majority in two spans of a vote rests for a drawn time.

Whoever has another digest, or is not the one that `peers` has at its address, plays no part. While a datagram of another digest came from
an address of `peers` within a span of a vote, this node neither stands nor promises its vote, and says so to whoever calls it, which then
does the same: two groups that count the tier otherwise could each have their majority. What they had been promised ends by itself, and all
have their floors until the change is through.

Bounds: at most `CALLS` pages of ENTRIES grants to a node a beat; what a node said it wants is forgotten after TOLD beats; a node's own
bound counts as at most LIAR times the median in the sum of the tier.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from statistics import median

from forkweir.tier import signals, wire
from forkweir.tier.claims import FETCHES, Claims
from forkweir.tier.lending import MOST_BOUNDS, WHOLE, Dealer, Who
from forkweir.tier.lines import ON_A_PAGE, WINDOW, merged, packed, unpacked
from forkweir.tier.members import Members, Question
from forkweir.tier.options import Options
from forkweir.tier.signals import RECEIVERS, Signals
from forkweir.tier.wire import ENTRIES, FORMAT, Message

VOTE_BEATS = 8.0
HOLD_BEATS = 5.0
QUIET_BEATS = 2.5  # without a call of the one that has the vote: somebody else may stand
RANK_BEATS = 0.5  # and each one later by so much times its rank
FIRST_BEATS = 1.5  # after the start, before anybody stands
TOLD = 2.5  # beats
LIAR = 4.0
WORD_PERIODS = 1.5  # between two words on boxes, if there is anything to tell
LINE_BEATS = 4  # between two words on the line
CALLS = 13

USUAL = Options()

Send = tuple[int, bytes]
"""To which node, and what."""


@dataclass(slots=True)
class Told:
    """What a keeper knows of one process. wants: by bound, how much and when it was said."""

    token: int
    number: int = 0  # of its last reply
    at_ms: float = 0.0
    own: tuple[float, float] = (0.0, 0.0)
    wants: dict[int, tuple[float, float]] = field(default_factory=dict)
    filled: float = 0.0  # what part of its window is arrivals,
    heavy: dict[int, float] = field(
        default_factory=dict
    )  # and what is asked for often there: by bucket, its part of the window
    heavy_number: int = 0  # the call after which it said so


class Tier:
    """A process of one node. Ask it again by `tick` at least TICKS times a period."""

    def __init__(
        self,
        slot: int,
        count: int,
        seed: int,
        incarnation: int,
        now: float,
        options: Options = USUAL,
        tier: int = 0,
    ) -> None:
        """slot: this node's number, of count nodes; incarnation: Unix seconds; tier: number of the tier; seed: new with each start."""
        if not 0 <= slot < count <= wire.MOST_NODES:
            raise ValueError(
                f"node {slot} of {count}: a tier has at most {wire.MOST_NODES} nodes, counted from 0"
            )
        self.slot = slot
        self.count = count
        self.options = options
        self.digest = _digest(options, count, tier)
        self._random = random.Random(f"tier/{seed}/{slot}")
        self.token = self._random.getrandbits(32) or 1
        self.beat_ms = options.beat_ms(count)
        self.members = Members(slot, count, incarnation, seed, options.period_ms, now)
        self.vote_ms = VOTE_BEATS * self.beat_ms
        self.dealer = Dealer((slot, self.token), count, self.vote_ms, now)
        self.claims = Claims(
            options.floor, self.dealer.holdings, options.shares, options.fetches, options.line
        )
        self.signals = (
            Signals() if options.signals else None
        )  # none: this node neither tells nor heeds what was seen of boxes
        self.attend: Callable[[float], None] = lambda now: (
            None
        )  # brings `signals` and what follows from them up to date
        self.sizes = (0.0, 0.0)  # of the tier, as the keeper had them
        self.followed = -1  # whose calls this node answers with its vote
        self.prepare: Callable[[float], None] = lambda now: (
            None
        )  # brings `claims` up to date before it is read
        self.counts = dict.fromkeys(
            ("in", "out", "malformed", "foreign", "impostor", "stranger", "old"), 0
        )
        self.bytes_out = 0
        self._told: dict[int, Told] = {}
        self._relays: dict[
            int, tuple[int, int]
        ] = {}  # by number of our question: for whom, and by what number of theirs
        self._relayed = 0
        self._called_ms = now  # when a call last came that got the vote
        self._next_beat_ms = now + FIRST_BEATS * self.beat_ms * (1.0 + 0.2 * self._random.random())
        self._stood_ms = -1.0  # since when it stands without a majority
        self._rest_ms = 0.0
        self._foreign_ms = -1e12  # when it last heard itself of another digest,
        self._foreign_told_ms = -1e12  # and when another said that it had
        self._reached: set[int] = set()  # who was called in the last beat,
        self._beat_number = 0  # and the number of that call
        self._beats = 0
        self._next_word_ms = now
        self._words = 0  # on boxes, that were told
        self._silent = True  # nothing was told last
        self._void = 0  # of a candidacy that has ended, and of which the others are still to be told: its last call

    # -- what others ask -----------------------------------------------------------------

    def keeps(self, now: float) -> bool:
        """Whether this process is keeper."""
        return self.dealer.keeps(now)

    def disagrees(self, now: float) -> bool:
        """Whether another count or other constants of the tier were heard of lately."""
        return now - max(self._foreign_ms, self._foreign_told_ms) < self.vote_ms

    # -- time ----------------------------------------------------------------------------

    def tick(self, now: float) -> list[Send]:
        """Time has passed."""
        sends = [send for question in self.members.tick(now) for send in self._question(question)]
        self.attend(now)
        if self.signals is not None and now >= self._next_word_ms:
            self._next_word_ms = now + WORD_PERIODS * self.options.period_ms
            sends += self._tell_seen()
        if now >= self._next_beat_ms:
            self._next_beat_ms = max(self._next_beat_ms + self.beat_ms, now + 0.5 * self.beat_ms)
            if self._stands(now):
                sends += self._call_all(now)
            sends += self._say_back()
        elif self._reached and self.keeps(now):
            sends += self._call_new()
        return self._counted(sends)

    def leave(self, now: float) -> list[Send]:
        """The process ends in order: some are told, and tell the others."""
        others = [slot for slot in self.members.there() if slot != self.slot]
        some = self._random.sample(others, min(len(others), 4))
        return self._counted([self._send(slot, wire.Leave(*self._head())) for slot in some])

    def _stands(self, now: float) -> bool:
        """Whether this process calls others: it is keeper, or nobody else seems to be."""
        if self.disagrees(now):
            # For a whole span of a vote from now on: by then what it may have granted as keeper has ended too.
            self.dealer.voter.refuse(now)
            self.dealer.candidacy.drop()
            return False
        if self.keeps(now):
            self._stood_ms = -1.0
            return self.dealer.call(now)
        quiet = QUIET_BEATS + RANK_BEATS * self.members.there().index(self.slot)
        if now < self._rest_ms or now - self._called_ms < quiet * self.beat_ms:
            return False
        if self._stood_ms >= 0.0 and now - self._stood_ms > 2.0 * self.vote_ms:
            self._rest_ms = now + self.vote_ms * (1.0 + self._random.random())
            self._stood_ms = -1.0
            self._void = self.dealer.stand_back(now)
            return False
        if not self.dealer.call(now):
            return False
        if self._stood_ms < 0.0:
            self._stood_ms = now
        return True

    # -- the keeper's side ---------------------------------------------------------------

    def _call_all(self, now: float) -> Iterator[Send]:
        """One beat: ask for votes, and tell each what it gets of what it said it wants."""
        dealer = self.dealer
        number = dealer.number
        self._beats += 1
        heavy = self._beats % LINE_BEATS == 0
        hold_ms = dealer.hold_ms(HOLD_BEATS * self.beat_ms, now)
        self._reached.clear()
        self._beat_number = number
        self._tell_own(now)
        dealt = self._deal(hold_ms, now) if hold_ms else {}
        sizes = wire.scaled(self.sizes[0]), wire.scaled(self.sizes[1])
        for slot in range(self.count):
            if self.members.state(slot) in ("dead", "left") and slot != self.slot:
                continue
            self._reached.add(slot)
            known = self._told.get(slot)
            grants = list(dealt.get(slot, {}).items())
            if slot == self.slot:
                for bound, parts in grants:
                    size = self._size_of(bound, sizes)
                    dealer.granted(
                        dealer.who,
                        self.token,
                        number,
                        self._told[slot].number,
                        hold_ms,
                        size,
                        bound,
                        parts,
                        now,
                    )
                continue
            token, echo = (known.token, known.number) if known is not None and grants else (0, 0)
            for page in range(max(1, min(CALLS, -(-len(grants) // ENTRIES)))):
                dealer.number += page > 0
                some = tuple(grants[page * ENTRIES : (page + 1) * ENTRIES])
                call = wire.Call(
                    *self._head(),
                    token,
                    dealer.number if page else number,
                    not page,
                    echo,
                    hold_ms,
                    sizes,
                    heavy,
                    some,
                )
                yield self._send(slot, call)
        if hold_ms and heavy:
            yield from self._tell_line(number, now)

    def _call_new(self) -> Iterator[Send]:
        """Between two beats, call those that have come since the last one, so that they have their parts a beat sooner."""
        for slot in self.members.there():
            if slot != self.slot and slot not in self._reached:
                self._reached.add(slot)
                sizes = wire.scaled(self.sizes[0]), wire.scaled(self.sizes[1])
                yield self._send(
                    slot,
                    wire.Call(*self._head(), 0, self._beat_number, True, 0, 0, sizes, False, ()),
                )

    def _tell_line(self, number: int, now: float) -> Iterator[Send]:
        """Merge what all nodes are asked for often, and tell them."""
        lines, oldest = self.claims.lines, now - 2.0 * LINE_BEATS * TOLD * self.beat_ms
        if lines is None:
            return
        told = {
            slot: (t.filled, t.heavy)
            for slot, t in self._told.items()
            if t.at_ms >= oldest and slot != self.slot
        }
        told[self.slot] = lines.sketch.weight / WINDOW, dict(unpacked(packed(lines.sketch.heavy())))
        filled, shares = merged(told)
        code = wire.scaled(filled)
        data = packed(shares)
        pages = _pages(data)
        for page, some in enumerate(pages):
            lines.page(self.token, number, page, len(pages), wire.unscaled(code), some, now)
            for slot in self.members.there():
                if slot != self.slot:
                    yield self._send(
                        slot, wire.Line(*self._head(), number, page, len(pages), code, some)
                    )

    def _tell_heavy(self, keeper: int, number: int) -> Iterator[Send]:
        """Tell the keeper what is asked for often here."""
        if self.claims.lines is None:
            return
        sketch = self.claims.lines.sketch
        filled = wire.scaled(sketch.weight / WINDOW)
        for page, some in enumerate(_pages(packed(sketch.heavy()))):
            yield self._send(keeper, wire.Heavy(*self._head(), number, page, filled, some))

    def _say_back(self) -> Iterator[Send]:
        """Tell all that this process stands no more, once, if it has stood back."""
        void, self._void = self._void, 0
        if void:
            for slot in self.members.there():
                if slot != self.slot:
                    yield self._send(slot, wire.Back(*self._head(), void))

    def _tell_own(self, now: float) -> None:
        """The keeper is a node like any other: it tells itself what it wants."""
        self.prepare(now)
        told = self._told.get(self.slot)
        if told is None:
            told = self._told[self.slot] = Told(self.token)
        told.number, told.at_ms = self.dealer.holdings.replies(now), now
        told.own = self.claims.own_work, self.claims.own_fetches
        told.wants = {bound: (amount, now) for bound, amount in self.claims.wanted(now)}

    def _deal(self, hold_ms: int, now: float) -> dict[int, dict[int, int]]:
        """Grant anew what was asked for lately: by node and bound."""
        oldest = now - TOLD * self.beat_ms
        lately = {slot: told for slot, told in self._told.items() if told.at_ms >= oldest}
        self.sizes = (
            _size([told.own[0] for told in lately.values()]),
            _size([told.own[1] for told in lately.values()]),
        )
        wants: dict[int, dict[Who, float]] = {}
        for slot, told in lately.items():
            for bound in [b for b, (_, at) in told.wants.items() if at < oldest]:
                del told.wants[bound]
            for bound, (amount, _) in told.wants.items():
                pool = (1.0 - self.options.floor) * self.sizes[bound == FETCHES]
                if pool > 0.0:
                    wants.setdefault(bound, {})[slot, told.token] = min(
                        WHOLE, WHOLE * amount / pool
                    )
        self.dealer.ledger.forget(now)
        dealt: dict[int, dict[int, int]] = {}
        for bound, by_who in wants.items():
            for (slot, _), parts in self.dealer.ledger.deal(bound, by_who, hold_ms, now).items():
                dealt.setdefault(slot, {})[bound] = parts
        return dealt

    @staticmethod
    def _size_of(bound: int, sizes: tuple[int, int]) -> float:
        return wire.unscaled(sizes[bound == FETCHES])

    # -- datagrams -----------------------------------------------------------------------

    def receive(self, sender: int, data: bytes, now: float) -> list[Send]:
        """A datagram came from the address that `peers` has for a node (-1: for none of them)."""
        self.counts["in"] += 1
        if sender < 0 or sender >= self.count:
            self.counts["stranger"] += 1
            return []
        try:
            message = wire.decode(data)
        except wire.Malformed:
            self.counts["malformed"] += 1
            return []
        if message.digest != self.digest:
            self.counts["foreign"] += 1
            self._foreign_ms = now
            return []
        if message.slot != sender or sender == self.slot:
            self.counts["impostor"] += 1
            self._foreign_ms = now  # two lists of peers that differ in their order
            return []
        if not self.members.heard(sender, message.incarnation, message.token, now):
            self.counts["old"] += 1
            return []
        return self._counted(list(self._receive(sender, message, now)))

    def _receive(self, sender: int, message: Message, now: float) -> Iterator[Send]:
        if isinstance(message, wire.Ping):
            self.members.told(message.news, now)
            yield self._send(
                sender,
                wire.Ack(
                    *self._head(), message.number, self.members.news(sender, full=message.joining)
                ),
            )
        elif isinstance(message, wire.Ack):
            self.members.told(message.news, now)
            asked_for = self._relays.pop(message.number, None)
            if asked_for is not None:
                yield self._send(asked_for[0], wire.Ack(*self._head(), asked_for[1], ()))
            self.members.answered(message.number)
        elif isinstance(message, wire.Relay):
            self.members.told(message.news, now)
            if message.target < self.count and message.target not in (self.slot, sender):
                self._relayed = (self._relayed + 1) % 1_000
                number = 0xFFFF0000 + self._relayed  # apart from the questions of our own
                self._relays[number] = sender, message.number
                while len(self._relays) > 64:
                    del self._relays[next(iter(self._relays))]
                yield self._send(
                    message.target,
                    wire.Ping(*self._head(), number, False, self.members.news(message.target)),
                )
        elif isinstance(message, wire.Call):
            yield from self._called(sender, message, now)
        elif isinstance(message, wire.Reply):
            self._replied(sender, message, now)
        elif isinstance(message, wire.Heavy):
            self._heavy(sender, message, now)
        elif isinstance(message, wire.Seen):
            if self.signals is not None:
                self.signals.heard(
                    sender, message.token, message.number, signals.unpacked(message.data), now
                )
        elif isinstance(message, wire.Line):
            if self.claims.lines is not None and self.dealer.voter.promised == (
                sender,
                message.token,
            ):
                filled = wire.unscaled(message.filled)
                self.claims.lines.page(
                    message.token,
                    message.number,
                    message.page,
                    message.pages,
                    filled,
                    message.data,
                    now,
                )
        elif isinstance(message, wire.Back):
            self.dealer.voter.release((sender, message.token), message.number, now)
        else:
            self.members.left(sender, message.incarnation, now)

    def _called(self, sender: int, call: wire.Call, now: float) -> Iterator[Send]:
        keeper = sender, call.token
        for bound, parts in call.grants:
            size = self._size_of(bound, call.sizes)
            self.dealer.granted(
                keeper, call.to, call.number, call.echo, call.hold_ms, size, bound, parts, now
            )
        if not call.answer:
            return
        vote, void = (
            (False, 0) if self.disagrees(now) else self.dealer.called(keeper, call.number, now)
        )
        if void:
            self._void, self._stood_ms = void, -1.0
            yield from self._say_back()
        if vote:
            self._called_ms, self.followed = now, sender
            self.sizes = wire.unscaled(call.sizes[0]), wire.unscaled(call.sizes[1])
        if vote and call.heavy:
            yield from self._tell_heavy(sender, call.number)
        self.prepare(now)
        wants = [(bound, wire.scaled(amount)) for bound, amount in self.claims.wanted(now)][
            : CALLS * ENTRIES
        ]
        own = wire.scaled(self.claims.own_work), wire.scaled(self.claims.own_fetches)
        other = now - self._foreign_ms < self.vote_ms
        for page in range(max(1, -(-len(wants) // ENTRIES))):
            number = self.dealer.holdings.replies(now) if not page else 0
            some = tuple(wants[page * ENTRIES : (page + 1) * ENTRIES])
            yield self._send(
                sender,
                wire.Reply(
                    *self._head(),
                    call.token,
                    number,
                    call.number,
                    vote and not page,
                    other,
                    own,
                    some,
                ),
            )

    def _replied(self, sender: int, reply: wire.Reply, now: float) -> None:
        if reply.to != self.token:
            self.counts["old"] += 1
            return
        if reply.other:
            self._foreign_told_ms = now
        if reply.vote:
            self.dealer.voted(sender, reply.to, reply.echo)
        told = self._told.get(sender)
        if told is None or told.token != reply.token:
            told = self._told[sender] = Told(reply.token)
        if reply.number:
            if reply.number <= told.number:
                self.counts["old"] += 1
                return
            told.number = reply.number
        told.at_ms = now
        told.own = wire.unscaled(reply.own[0]), wire.unscaled(reply.own[1])
        for bound, step in reply.wants:
            if bound in told.wants or len(told.wants) < MOST_BOUNDS:
                told.wants[bound] = wire.unscaled(step), now

    def _tell_seen(self) -> Iterator[Send]:
        """Tell some members which boxes this node holds to be bad; once more, with nothing in it, when there are none any more."""
        assert self.signals is not None
        told = self.signals.told()
        if not told and self._silent:
            return
        self._silent = not told
        self._words += 1
        others = [slot for slot in self.members.there() if slot != self.slot]
        data = signals.packed(told)
        for slot in self._random.sample(others, min(RECEIVERS, len(others))):
            yield self._send(slot, wire.Seen(*self._head(), self._words, data))

    def _heavy(self, sender: int, message: wire.Heavy, now: float) -> None:
        told = self._told.get(sender)
        if told is None or told.token != message.token or message.number < told.heavy_number:
            self.counts["old"] += 1
            return
        if message.number > told.heavy_number:
            told.heavy, told.heavy_number = {}, message.number
        told.filled = wire.unscaled(message.filled)
        told.heavy.update(unpacked(message.data))

    def _question(self, question: Question) -> Iterator[Send]:
        if question.relay >= 0:
            relay = wire.Relay(
                *self._head(), question.number, question.to, self.members.news(question.relay)
            )
            yield self._send(question.relay, relay)
        else:
            ping = wire.Ping(
                *self._head(), question.number, self.members.joining, self.members.news(question.to)
            )
            yield self._send(question.to, ping)

    def _head(self) -> tuple[int, int, int, int, int]:
        return FORMAT, self.digest, self.slot, self.members.incarnation, self.token

    def _send(self, slot: int, message: Message) -> Send:
        return slot, wire.encode(message)

    def _counted(self, sends: list[Send]) -> list[Send]:
        self.counts["out"] += len(sends)
        self.bytes_out += sum(len(data) for _, data in sends)
        return sends


def _digest(options: Options, count: int, tier: int) -> int:
    """Of what nodes must agree on to deal with one another."""
    text = f"{FORMAT}/{tier}/{count}/{options.floor:.6f}/{options.period_ms:.3f}/{WHOLE}/{VOTE_BEATS}/{HOLD_BEATS}"
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest(), "big")


def _pages(data: bytes) -> list[bytes]:
    """Shares as they are told, in pages; one at least."""
    size = 3 * ON_A_PAGE
    return [data[at : at + size] for at in range(0, max(1, len(data)), size)]


def _size(owns: list[float]) -> float:
    """The sum of what nodes would take by themselves, none counted for more than LIAR times the median of those that would take any."""
    some = [own for own in owns if own > 0.0]
    if not some:
        return 0.0
    most = LIAR * median(some)
    return sum(min(own, most) for own in some)
