"""Journals between the processes of one node: what is read after cuts, failures and ends."""

from __future__ import annotations

import errno
import importlib
from collections.abc import Iterable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from loopback import run_async, until

from corkshift.handover import Peers
from corkshift.handover.messages import (
    MAX_LINE_BYTES,
    Departure,
    Drain,
    DrainCall,
    Greeting,
    Message,
    MessageReader,
    ProcessState,
    RequestIds,
    State,
    Usage,
    encode,
)
from corkshift.paced_import import STEPS, starts_beside_another
from corkshift.seam.locked_files import LockedFile, LockedFolder

MESSAGES: list[Message] = [
    State(ProcessState.SERVING),
    Departure("s1", 41, 1_764_547_200_000.0),
    DrainCall(Drain.QUIESCE),
    RequestIds(["a", "b"]),
    Greeting("n.journal"),
    Usage(12, 30),
]
TEXT = b"".join(encode(message) for message in MESSAGES)


class Observer:
    """Records what other processes tell."""

    def __init__(self, departures: Iterable[Departure] = ()) -> None:
        self.known = list(departures)
        self.departed: list[Departure] = []
        self.calls: list[Drain] = []
        self.used = Usage(0, 0)
        self.ids: list[bytes] = []
        self.learnt_ids: list[bytes] = []
        self.others = 0

    def departures(self) -> Iterable[Departure]:
        return self.known

    def recent_ids(self) -> list[bytes]:
        return self.ids

    def on_ids(self, ids: list[bytes]) -> None:
        self.learnt_ids += ids

    def on_processes(self, others: int) -> None:
        self.others = others

    def usage(self) -> Usage:
        return Usage(1, 2)

    def on_departures(self, departures: list[Departure]) -> None:
        self.departed += departures

    def on_drain_call(self, call: Drain) -> None:
        self.calls.append(call)

    def on_usage(self, usage: Usage) -> None:
        self.used = usage


@given(st.lists(st.integers(0, len(TEXT)), max_size=6))
def test_messages_are_the_same_wherever_a_journal_is_read_in_between(cuts: list[int]) -> None:
    reader, found = MessageReader(), list[Message]()
    bounds = [0, *sorted(cuts), len(TEXT)]
    for begin, end in zip(bounds, bounds[1:], strict=False):
        found += reader.receive(TEXT[begin:end])
    assert found == MESSAGES and reader.malformed == 0


@given(st.integers(0, len(TEXT) - 1), st.binary(min_size=1, max_size=4))
def test_a_spoilt_line_costs_no_other_message(at: int, noise: bytes) -> None:
    spoilt = TEXT[:at] + noise + TEXT[at + len(noise) :]
    found = MessageReader().receive(spoilt + b"\n" + TEXT)
    assert found[-len(MESSAGES) :] == MESSAGES


def test_an_endless_line_is_bounded() -> None:
    reader = MessageReader()
    for _ in range(4):
        assert reader.receive(b"x" * MAX_LINE_BYTES) == []
    assert reader.malformed >= 1
    assert reader.receive(b"\n" + TEXT)[-1] == MESSAGES[-1]


def test_each_process_learns_what_the_other_was_notified_of(tmp_path: Path) -> None:
    async def test() -> None:
        earlier, later = Departure("s1", 41, 0.0), Departure("s2", 42, 0.0)
        old_observer, new_observer = Observer([earlier]), Observer()
        old, new = (
            Peers(LockedFolder(tmp_path), old_observer),
            Peers(LockedFolder(tmp_path), new_observer),
        )
        old.start()
        old.on_serving()
        old.on_quiesce()
        new.start()
        assert new.check_other_serves() and new_observer.calls == [Drain.QUIESCE]
        await until(lambda: new_observer.departed == [earlier])
        old.on_departure("s2", 42, 0.0)
        await until(lambda: new_observer.departed == [earlier, later])
        new.on_resume()
        new.on_departure("s3", 43, 5.0)
        await until(lambda: old_observer.departed == [Departure("s3", 43, 5.0)])
        await until(lambda: old_observer.calls == [Drain.RESUME] and new_observer.used.servers == 2)
        old.on_ending()
        assert not new.check_other_serves()
        old.close()
        await until(lambda: new_observer.used == Usage(0, 0))
        new.close()
        assert list(tmp_path.iterdir()) == []

    run_async(test)


def test_the_journal_of_a_killed_process_is_read_to_its_last_whole_line_and_removed(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        (tmp_path / "0123.journal").write_bytes(TEXT + encode(Departure("s9", 50, 0.0))[:-9])
        observer = Observer()
        peers = Peers(LockedFolder(tmp_path), observer)
        peers.start()
        assert observer.departed == [MESSAGES[1]]
        # A restart ends an operator's drain, and nobody serves.
        assert observer.calls == [] and not peers.check_other_serves()
        assert not (tmp_path / "0123.journal").exists()
        peers.close()

    run_async(test)


@pytest.mark.parametrize("fault", [errno.ENOSPC, errno.EIO, "short"])
def test_failed_and_short_writes_are_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fault: int | str
) -> None:
    async def test() -> None:
        old, observer = Peers(LockedFolder(tmp_path), Observer()), Observer()
        new = Peers(LockedFolder(tmp_path), observer)
        old.start()
        new.start()
        await until(lambda: bool(old._peers))
        append, failures = LockedFile.append, [3]

        def failing(journal: LockedFile, data: bytes) -> int:
            if failures[0]:
                failures[0] -= 1
                if fault == "short":
                    return append(journal, data[:5])
                raise OSError(int(fault), "fault")
            return append(journal, data)

        monkeypatch.setattr(LockedFile, "append", failing)
        old.on_departure("s1", 41, 0.0)
        await until(lambda: observer.departed == [Departure("s1", 41, 0.0)])
        old.close()
        new.close()

    run_async(test)


def test_a_folder_that_cannot_be_written_is_tried_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        folder = tmp_path / "later"
        old_observer = Observer()
        old, new = (
            Peers(LockedFolder(folder), old_observer),
            Peers(LockedFolder(folder), Observer([Departure("s1", 41, 0.0)])),
        )
        old.start()
        new.start()
        assert not old.check_other_serves()
        folder.mkdir()
        await until(lambda: bool(old_observer.departed))
        old.close()
        new.close()

    run_async(test)


def test_a_lock_tells_whether_the_owner_of_a_journal_lives(tmp_path: Path) -> None:
    folder = LockedFolder(tmp_path)
    own = folder.create("0123")
    peer = folder.open(own.name)
    assert peer.owner_alive
    own.close()
    assert not peer.owner_alive
    peer.close(remove=True)


def test_a_process_that_starts_beside_another_is_told_by_its_journal(tmp_path: Path) -> None:
    environ = {"TMPDIR": str(tmp_path), "PROXY_SOCKET_FD": "7"}
    assert not starts_beside_another(environ)
    (tmp_path / "gradeshift-n0").mkdir()
    assert not starts_beside_another(environ)
    (tmp_path / "gradeshift-n0" / "0123.journal").touch()  # left by a process that was killed
    assert not starts_beside_another(environ)
    own = LockedFolder(tmp_path / "gradeshift-n0").create("4567")
    assert starts_beside_another(environ)
    assert not starts_beside_another({"TMPDIR": str(tmp_path)})
    assert not starts_beside_another({**environ, "TMPDIR": str(tmp_path / "missing")})
    own.close()
    assert not starts_beside_another(environ)
    for name in STEPS:
        importlib.import_module(name)


def test_ids_are_known_to_both_processes_before_either_sends_a_request_on(tmp_path: Path) -> None:
    async def test() -> None:
        old_observer, new_observer = Observer(), Observer()
        old_observer.ids = [b"earlier-%d" % n for n in range(100)]
        old, new = (
            Peers(LockedFolder(tmp_path), old_observer),
            Peers(LockedFolder(tmp_path), new_observer),
        )
        old.start()
        assert old.claim_id(b"alone") and old.caught_up
        old.on_serving()
        new.start()
        assert not new.caught_up
        await until(lambda: new.caught_up)
        assert new_observer.learnt_ids == old_observer.ids
        assert (old_observer.others, new_observer.others) == (1, 1)
        # Without a poll in between: the second one learns of the id as it claims it.
        assert old.claim_id(b"x") and new.claim_id(b"x")
        assert new_observer.learnt_ids[-1] == b"x" and b"x" not in old_observer.learnt_ids
        old.close()
        new.close()

    run_async(test)


def test_an_id_that_cannot_be_written_is_not_claimed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        old, new = (
            Peers(LockedFolder(tmp_path), Observer()),
            Peers(LockedFolder(tmp_path), Observer()),
        )
        old.start()
        new.start()
        await until(lambda: bool(old._peers and new._peers))
        append = LockedFile.append

        def failing(journal: LockedFile, data: bytes) -> int:
            raise OSError(errno.ENOSPC, "no space")

        monkeypatch.setattr(LockedFile, "append", failing)
        assert not old.claim_id(b"x")
        monkeypatch.setattr(LockedFile, "append", append)
        assert old.claim_id(b"y")
        old.close()
        new.close()

    run_async(test)
