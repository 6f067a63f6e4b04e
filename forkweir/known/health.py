"""The health of servers: one state for each, and who may move it. Pure, no I/O, no clock.

What the list says and how a server did come together in one state. It is the only answer to "may this server get this request".

| state | who is in it | gets | left when |
|---|---|---|---|
| in service | listed, and nothing is held against it | its keys (a part of them where it strains) | it drains, goes, or is put out |
| cold | likewise, started a short while ago | what its allowance has | its warm-up is over |
| silent | FAULTS_ROW faults in a row, or SILENT_ROW requests out over an aim | nothing | EJECT_MS, doubled to EJECT_MAX_MS, is over |
| doubted | more likely bad than good (`doubt`) | nothing | 0.75 to 1.5 s, doubled to 12 s, are over |
| due | put out before, and its time is over | one request, to try it | that request goes out |
| on trial | that one request is out | nothing more until its aim is over | an answer of any kind: in service; none: put out again |
| draining | the list says so | nothing | the list says otherwise |
| gone | the list says so, or leaves it out | nothing | the list names it again |

Who may move it: the list (`present`, `restarted`), an outcome (`HealthTable.judge`, `doubted`), a request that is out for long
(`silent_for`, `strike`), and one that is sent (`sent`). Draining and gone come before all others: no outcome brings a server back
that the list has taken away. A restart told by the list ends whatever was held against it.

Bounds over the fleet: no more than SILENT_MOST of the servers are put out for silence; where MOST_OUT of them seem bad and the others do
badly as well, or MOST_ALONE seem bad, nobody is kept out for doubt (`Doubts.common`). Faults of a dead process have no such bound:
nothing answers there. Eleven numbers and a `Record` a server.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

from forkweir.known.doubt import Doubts, Record
from forkweir.known.seen import Seen

EJECT_MS = 1_000.0  # first ejection; doubles up to the longest
EJECT_MAX_MS = 8_000.0
FAULTS_ROW = {
    "unreachable": 2,
    "broken": 3,
    "spoilt": 4,
}  # so many faults in a row, with no answer between: the server is out
TURNED_STEP = 0.1  # weight of one outcome in the part of attempts that a server turns away
CALM = 0.15  # a server that turns away less than this lately has room
SILENT_ROW = 4  # so many requests out for that long in a row, with no answer between, over a whole aim: the server is silent
SILENT_MOST = 0.25  # of the servers that may be put out for silence at once
MOST_HEARD = 0.34  # of the servers seem bad: no more are put out by what others say
AWAY_MS = 2_000.0  # out for longer than this it may have started anew without word from the list

State = Literal["in_service", "cold", "silent", "doubted", "due", "on_trial", "draining", "gone"]
STATES: tuple[State, ...] = (
    "in_service",
    "cold",
    "silent",
    "doubted",
    "due",
    "on_trial",
    "draining",
    "gone",
)


class Health:
    """What is held against one server, and what it may get because of it."""

    __slots__ = (
        "present", "draining", "strikes", "faults", "turned", "waited", "waited_ms", "heard_ms", "trial", "out_until", "out_since",
        "record",
    )  # fmt: skip

    def __init__(self, present: bool, draining: bool) -> None:
        self.present = present  # listed in service
        self.draining = draining
        self.strikes = 0  # times it was put out, with no answer between
        self.faults = 0  # in a row
        self.turned = 0.0  # part of late attempts that it turned away
        self.waited = 0  # requests out for long, in a row,
        self.waited_ms = 0.0  # and when the first of them was sent
        self.heard_ms = 0.0  # when it last answered
        self.trial = -1  # the one request that a server that was put out gets at a time
        self.out_until = 0.0
        self.out_since = 0.0
        self.record = Record()  # of how it did

    def state(self, now: float, cold: bool) -> State:
        """Its state; cold: whether its warm-up may be going on."""
        if not self.present:
            return "draining" if self.draining else "gone"
        if self.restricted:
            if self.out_until <= now:
                return "due"
            return "on_trial" if self.trial >= 0 else "silent" if self.strikes else "doubted"
        return "cold" if cold else "in_service"

    def free(self, now: float) -> bool:
        """Whether it may get a request at all, as far as its health goes."""
        return self.present and self.out_until <= now

    @property
    def restricted(self) -> bool:
        """Whether it gets one request at a time, to try it."""
        return bool(self.strikes or self.record.row)

    @property
    def calm(self) -> bool:
        """Whether it turns away little."""
        return self.turned < CALM

    def restarted(self) -> None:
        """The list says that it has started anew: whatever was held against it is over."""
        self.strikes = 0
        self.waited, self.trial = 0, -1
        self.record.clear()
        self.out_until = 0.0

    def sent(self, request_id: int, aim_ms: float, now: float) -> None:
        """A request goes out to it. One at a time goes to a server that was put out, until it answers (guards against all its keys
        falling on one that is still dead each time its time is up)."""
        if self.restricted:
            self.trial = request_id
            self.out_until = max(self.out_until, now + aim_ms)

    def strike(self, now: float) -> None:
        """Note an attempt that found no working server; eject after repeated ones."""
        if not self.strikes:
            self.out_since = now
        self.strikes += 1
        self.trial = -1
        self.out_until = now + min(EJECT_MAX_MS, EJECT_MS * 2.0 ** min(8, self.strikes - 1))

    def fault(self, status: str, now: float) -> None:
        """Note a connection that failed, or an answer that could not be read.

        A few of them among good answers tell of the network or of the connection: the server is alive, and its cache is worth
        keeping (guards against ejections, and a warm-up that never was, for a fault of one attempt in many). A server that is
        dead, or speaks nothing but noise, is soon struck: nothing good comes between. Harm: it costs a few more attempts,
        which are made again elsewhere.
        """
        self.faults += 1
        if self.faults >= FAULTS_ROW[status]:
            self.strike(now)

    def proved(self, now: float) -> bool:
        """Note an attempt that it answered. Whether it is back from the dead without word from the list, and so may be cold."""
        self.faults = 0
        self.trial = -1
        if not self.strikes:
            return False
        back = bool(self.out_until) and now - self.out_since > AWAY_MS
        self.strikes = 0
        self.out_until = 0.0
        return back


class HealthTable:
    """What is decided over all servers of a node together. servers: those that may be home to keys."""

    __slots__ = ("doubts",)

    def __init__(self, seed: int) -> None:
        self.doubts = Doubts(seed)

    def judge(self, server: Health, seen: Seen, now: float) -> bool:
        """Note what an outcome tells of whether a server is there and has room; whether it is back from the dead (see `proved`)."""
        back = False
        if seen.alive:
            back = server.proved(now)
        elif seen.fault:
            server.fault(seen.status, now)
        elif seen.hung and seen.trial and server.strikes:
            server.strike(now)
        if seen.heard:
            server.waited, server.heard_ms = 0, now
        if seen.away is not None:
            server.turned += TURNED_STEP * (seen.away - server.turned)
        return back

    def silent_for(
        self,
        server: Health,
        sent_ms: float,
        aim_ms: float,
        servers: Sequence[Health],
        live: int,
        now: float,
    ) -> bool:
        """Note a request out for long; whether the server is to be put out for saying nothing.

        Guards against a server that has vanished or hangs while the list still names it: its connections stay open, so nothing
        fails, and each attempt waits for its whole time. It should catch whatever silences a process or the way to it. Harm:
        a pause longer than an aim costs a second of its keys; so that overload of all, or an origin that keeps every miss
        waiting, can't empty the fleet, only a part of it may be out for this.
        """
        if not server.waited:
            server.waited_ms = sent_ms
        server.waited += 1
        if server.strikes or server.waited < SILENT_ROW or now - server.waited_ms <= aim_ms:
            return False
        return (
            sum(1 for other in servers if other.present and other.out_until > now)
            < SILENT_MOST * live
        )

    def doubted(
        self, server: Health, seen: Seen, servers: Sequence[Health], live: int, now: float
    ) -> float:
        """Note how an attempt went; how likely its server is bad. One that is is kept out, but for trials, where most are not."""
        sort, wrong = seen.sort, seen.wrong
        if wrong is None:
            return 0.0
        common = wrong and self.doubts.common(
            sort, sum(other.present and other.record.bad for other in servers) / max(1, live)
        )
        bad = self.doubts.judge(server.record, sort, wrong, now, common)
        if common:
            for other in servers:
                if other.record.row and not other.strikes:
                    other.out_until, other.record.row = 0.0, 0
        elif wrong and server.record.bad and (seen.trial or not server.record.row):
            server.out_until = max(server.out_until, now + self.doubts.wait(server.record))
        elif not wrong and not server.strikes:
            server.out_until = 0.0
        return bad

    def heard(
        self,
        server: Health,
        odds: float,
        back: bool,
        servers: Sequence[Health],
        live: int,
        now: float,
    ) -> None:
        """Other nodes say this of a server (`forkweir/tier/signals`). odds: to be added to those of our own test; back: it answers again.

        One that is more likely bad than good by both is kept out and tried, as by an attempt of our own; not where so many seem bad that
        it is no trouble of single servers. One that is out for doubt and answers others is tried at once. Whoever drains, is gone or is
        silent stays so: no word of others moves that.
        """
        server.record.heard = odds
        if not server.present or server.strikes:
            return
        if server.record.bad and odds and not server.record.row:
            if sum(other.present and other.record.bad for other in servers) <= MOST_HEARD * max(
                1, live
            ):
                server.out_until = max(server.out_until, now + self.doubts.wait(server.record))
        elif back and server.record.row and server.trial < 0:
            server.out_until = min(server.out_until, now)
