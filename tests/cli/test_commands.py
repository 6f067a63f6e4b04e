"""The command line: exit codes, help, and what a node with an operator's file must not import."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from corkshift.cli import command

ROOT = Path(__file__).parent.parent.parent


@pytest.mark.parametrize(
    ("line", "code", "words"),
    [
        ("bogus", 2, "bogus"),
        ("check", 2, "FILE"),
        ("sim run", 2, "--seed"),
        ("sim run --seed x", 2, "not a valid integer"),
        (
            "sim run --seed 1 --defect x",
            2,
            "unknown defect 'x'; the defects are repeats-unsafe-work",
        ),
        ("sim run --seed 1 --script absent.toml", 2, "absent.toml"),
        ("sim explore --seeds 5", 2, "--seeds must be A-B"),
        ("sim show absent", 2, "absent: No such file"),
        ("--operator", 2, "requires an argument"),
    ],
)
def test_wrong_arguments_exit_with_2_and_an_explanation(
    line: str, code: int, words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert command(line.split()) == code
    out, errors = capsys.readouterr()
    assert out == "" and words in errors


def test_help_lists_every_command(capsys: pytest.CaptureFixture[str]) -> None:
    assert command(["--help"]) == 0
    out = capsys.readouterr().out
    assert all(f"\n  {name} " in out for name in ("run", "check", "demo", "sim"))


def test_a_node_that_reads_an_operators_file_imports_no_command() -> None:
    code = (
        "import sys, corkshift.cli.operator; "
        "print([m for m in sys.modules if m.startswith(('click', 'testbed', 'dns'))])"
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
