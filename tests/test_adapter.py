"""End-to-end tests of the adapter, run as the process that the deploy file starts."""

from __future__ import annotations

import json
import subprocess
import sys

OPTIONS = {
    "services": [
        {
            "name": "read",
            "promiseMs": 300.0,
            "deadlineMs": 1000.0,
            "idempotency": "safe",
            "newKey": 1,
        }
    ],
    "allowed": {"mostTries": 3, "mayCancel": True},
    "contract": {"coldFrom": 0.3, "coldMs": 9000.0},
    "granularityMs": 5.0,
    "unknownKey": {"x": 1},
}
ROWS = [
    ["a", "z", "k", 0, "IN", 1, None],
    ["b", "z", "k", 0, "IN", 1, None],
    ["c", "z", "k", 0, "LAME", 1, None],
]


def run(*messages: object, raw: bytes = b"") -> subprocess.CompletedProcess[bytes]:
    text = b"".join(json.dumps(m).encode() + b"\n" for m in messages) + raw
    return subprocess.run(
        [sys.executable, "-m", "forkweir.adapter"],
        input=text,
        capture_output=True,
        timeout=60,
        check=False,
    )


def script(instances: list[int]) -> list[list[object]]:
    lines: list[list[object]] = [["BEGIN_BATCH", 100.0, 1]]
    for i in instances:
        lines += [
            ["INIT", i, 7 + i, OPTIONS],
            ["MANIFEST", 0, ROWS],
            ["MEMBERSHIP", i, 1, 0, "SAVED"],
        ]
    lines += [["YOUR_TURN"], ["BEGIN_BATCH", 105.0, 2]]
    for i in instances:
        lines += [
            ["REQUEST", i, 1000 * i + n, False, None, 900.0, None, None, "read", False, f"k{n}"]
            for n in range(5)
        ]
    lines += [["YOUR_TURN"], ["BEGIN_BATCH", 130.0, 3]]
    for i in instances:
        lines += [
            ["CLIENT_GONE", i, 1000 * i],
            ["ANSWER", i, 1000 * i + 1, 0, False, 25.0, "overloaded", "a", None, None],
        ]
    return [*lines, ["YOUR_TURN"]]


def test_golden_exchange() -> None:
    done = run(*script([3]))
    assert done.returncode == 0 and done.stderr == b""
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert replies[0] == ["DONE", 1]
    attempts = [r for r in replies if r[0] == "ATTEMPT"]
    assert [r[2] for r in attempts[:5]] == [3000, 3001, 3002, 3003, 3004]
    assert {r[3] for r in attempts} <= {"a", "b"} and all(r[4] == 290.0 for r in attempts[:5])
    assert ["ABORT_ATTEMPT", 3, 3000, 0] in replies
    assert attempts[5][2] == 3001 and len(attempts) == 6
    assert replies[-1] == ["DONE", 3]


def test_instances_act_alike_in_one_process_and_in_several() -> None:
    together = [json.loads(x) for x in run(*script([1, 2])).stdout.splitlines()]
    for i in (1, 2):
        alone = [json.loads(x) for x in run(*script([i])).stdout.splitlines()]
        assert [r for r in alone if r[0] != "DONE"] == [
            r for r in together if r[0] != "DONE" and r[1] == i
        ]


def check_malformed(*messages: object, raw: bytes = b"") -> None:
    done = run(*messages, raw=raw)
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1 and b"Traceback" not in done.stderr


def test_malformed_input_ends_with_one_plain_line() -> None:
    check_malformed(raw=b"no json\n")
    check_malformed(["YOUR_TURN"])
    check_malformed(["BEGIN_BATCH", 1.0, 1], ["BEGIN_BATCH", 2.0, 2])
    check_malformed(["BEGIN_BATCH", 1.0, 1], ["TICK_DUE", 9, 1])
    check_malformed(["BEGIN_BATCH"])


def test_an_exception_in_a_decision_is_reported_with_its_text() -> None:
    done = run(
        ["BEGIN_BATCH", 1.0, 1],
        ["INIT", 1, 2, OPTIONS],
        ["MEMBERSHIP", 1, 1, 9, "SAVED"],
        ["YOUR_TURN"],
    )
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert replies[0][:2] == ["GIVE_IN", 1] and "KeyError" in replies[0][2]


def test_end_of_input_ends_cleanly() -> None:
    assert run().returncode == 0
