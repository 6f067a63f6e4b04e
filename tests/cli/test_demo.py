"""`demo`, the README's first command, end to end."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent


def start(*arguments: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "corkshift", *arguments]
    environ = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith(("PROXY_", "GRADESHIFT_"))
    }
    return subprocess.Popen(
        command, cwd=ROOT, env=environ, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )


def served(text: str) -> tuple[int, int]:
    found = re.search(
        r"^(\d+) requests, ([\d.]+)% served in time, .* book fetches$", text, re.MULTILINE
    )
    assert found, text
    return int(found[1]), round(float(found[2]))


def test_the_demo_serves_and_ends_after_the_given_time() -> None:
    with start("demo", "--seconds", "2.5") as process:
        out, errors = process.communicate(timeout=60)
    assert process.returncode == 0 and errors == ""
    assert len(re.findall(r"http://127\.0\.0\.1:\d+", out)) == 9
    assert len(re.findall(r"^ +\d+ s +requests +\d+ +in time +\d+ ", out, re.MULTILINE)) >= 2
    requests, share = served(out)
    assert requests > 50 and share > 50


def test_ctrl_c_ends_the_demo_with_a_summary() -> None:
    with start("demo") as process:
        assert process.stdout is not None
        lines: list[str] = []
        while not any(" s  requests" in line for line in lines):
            lines.append(process.stdout.readline())
        process.send_signal(signal.SIGINT)
        out, errors = process.communicate(timeout=60)
    assert process.returncode == 0 and errors == ""
    assert served("".join(lines) + out)[0] > 0


@pytest.mark.parametrize(
    "arguments", [["demo", "--seconds", "0"], ["--operator", "absent.toml", "demo"]]
)
def test_the_demo_reports_wrong_arguments(arguments: list[str]) -> None:
    with start(*arguments) as process:
        out, errors = process.communicate(timeout=60)
    assert process.returncode == 2 and out == "" and errors.count("\n") == 1
