"""`check` reports every fault by its path, not only the first."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from loopback import OPTIONS

from corkshift.cli import command
from corkshift.cli.check import faults_of
from corkshift.cli.operator import BadOperatorFile, parse_operator_file
from corkshift.start import serve

ROOT = Path(__file__).parent.parent.parent


def node_file(**changes: Any) -> dict[str, Any]:
    valid = {
        "listen": "127.0.0.1:8000",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f",
        "limits": {"cores": 0.5, "memory_mb": 64},
    }
    return {**valid, "settings": OPTIONS, "another": 1, **changes}


def paths(path: Path, text: str) -> list[str]:
    path.write_text(text)
    return [fault.path for fault in faults_of(str(path))]


def test_a_valid_node_file_has_no_fault(tmp_path: Path) -> None:
    assert paths(tmp_path / "a.json", json.dumps(node_file())) == []


def test_every_fault_of_a_node_file_is_reported(tmp_path: Path) -> None:
    services = [
        {"name": "read", "promiseMs": 900, "deadlineMs": 500, "idempotency": "safe"},
        {"name": "cart", "idempotency": "keyed"},
        {"name": "", "idempotency": "sometimes", "deadlineMs": -1},
        {"name": "read"},
    ]
    bad = node_file(
        listen=8000,
        limits={"cores": 0, "sockets": "many"},
        settings={"services": services, "allowed": []},
    )
    del bad["discovery"]
    assert paths(tmp_path / "a.json", json.dumps(bad)) == [
        "listen",
        "limits.cores",
        "limits.sockets",
        "settings.services[0].promiseMs",
        "settings.services[1].idempotency",
        "settings.services[2].name",
        "settings.services[2].idempotency",
        "settings.services[2].deadlineMs",
        "settings.allowed",
    ]


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"listen": "here"}, "listen"),
        ({"discovery": "127.0.0.1:8000"}, "discovery"),
        ({"admin_addr": "9800"}, "admin_addr"),
        ({"admin_addr": "127.0.0.1:8000"}, "admin_addr"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": 5}, "settings"),
    ],
)
def test_invalid_values_of_a_node_file(tmp_path: Path, changes: dict[str, Any], path: str) -> None:
    assert paths(tmp_path / "a.json", json.dumps(node_file(**changes))) == [path]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("format = 1\n", []),
        ("format = 1\n[demo]\nboxes = 4\n", []),
        ("", ["format"]),
        (
            "format = 2\n[demo]\nboxes = 0\nbokses = 3\nwrite_share = 1.5\n[dem]\n",
            ["dem", "format", "demo.bokses", "demo.boxes", "demo.write_share"],
        ),
        ("format = 1\n[demo]\nboxes = 4\ncold_boxes = 4\n", ["demo.cold_boxes"]),
        ("format = 1\ndemo = 3\n", ["demo"]),
        ("format = ", [""]),
    ],
)
def test_faults_of_an_operators_file(tmp_path: Path, text: str, expected: list[str]) -> None:
    assert paths(tmp_path / "a.toml", text) == expected


def test_a_fault_states_what_is_allowed() -> None:
    with pytest.raises(
        BadOperatorFile, match=r"op.toml: demo.boxs: unknown key; allowed here: boxes, "
    ):
        parse_operator_file(b"format = 1\n[demo]\nboxs = 3\n", "op.toml")
    with pytest.raises(BadOperatorFile, match=r"op.toml: demo.boxes: expected `int` >= 1, got 0"):
        parse_operator_file(b"format = 1\n[demo]\nboxes = 0\n", "op.toml")


def test_the_example_operators_file_is_valid() -> None:
    assert faults_of(str(ROOT / "deploy" / "operator.example.toml")) == []


def test_check_exits_with_1_where_there_is_a_fault(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "a.toml"
    path.write_text("format = 1\nx = 1\ny = 2\n")
    assert command(["check", str(path)]) == 1
    errors = capsys.readouterr().err.splitlines()
    assert len(errors) == 2 and errors[0].startswith(f"{path}: x: unknown key")
    path.write_text("format = 1\n")
    assert command(["check", str(path)]) == 0
    assert command(["check", str(tmp_path / "absent")]) == 1


@pytest.mark.parametrize("how", ["argument", "variable"])
def test_a_node_does_not_start_with_an_invalid_operators_file(tmp_path: Path, how: str) -> None:
    config, operator = tmp_path / "a.json", tmp_path / "a.toml"
    config.write_text(json.dumps(node_file()))
    operator.write_text("format = 1\nx = 1\n")
    more = ["--operator", str(operator)] if how == "argument" else []
    environ = {
        **os.environ,
        "PROXY_CONFIG": str(config),
        **({} if more else {"GRADESHIFT_OPERATOR": str(operator)}),
    }
    done = subprocess.run(
        [sys.executable, "-m", "corkshift", *more],
        cwd=ROOT,
        env=environ,
        capture_output=True,
        timeout=30,
        check=False,
        text=True,
    )
    assert (
        done.returncode == 2
        and "a.toml: x: unknown key" in done.stderr
        and done.stderr.count("\n") == 1
    )


def test_a_node_without_optional_features_does_not_import_them() -> None:
    # Unused modules would cost memory and start-up time on small machines.
    prefixes = "('msgspec', 'argparse', 'click', 'dns', 'testbed', 'corkshift.cli')"
    code = (
        "import sys, corkshift.__main__; "
        f"print([m for m in sys.modules if m.startswith({prefixes})])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        capture_output=True,
        timeout=30,
        check=True,
        text=True,
    )
    assert done.stdout.strip() == "[]"
    assert callable(serve)
