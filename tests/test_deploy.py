"""The platform's requirements on `build` and `run` that can be tested locally.

See docs/operations.md.
"""

from __future__ import annotations

import asyncio
import os
import re
import signal
import struct
import sys
import tomllib
from pathlib import Path

import pytest
from loopback import CacheBox, ScriptedDiscovery, run_async, until
from test_process import ROOT, Process

from testbed.systems.ports import reserve_port

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


def test_run_is_a_single_exec_of_what_build_installs() -> None:
    # The shell ignores SIGHUP, since the node can't do so before its interpreter has started.
    assert re.fullmatch(r"trap '' HUP; exec \.venv/bin/python -m corkshift", DEPLOY["run"])
    assert re.fullmatch(r"exec \.venv/bin/python -m forkweir\.adapter", DEPLOY["sim"])
    assert (
        DEPLOY["packages"] == []
        and "requirements.txt" in DEPLOY["build"]
        and "sudo" not in DEPLOY["build"]
    )


def test_a_sighup_before_the_node_is_set_up_does_not_end_it() -> None:
    # The interpreter of `run` gets SIGHUP after its start, before it loads any code of the node.
    async def test() -> None:
        code = "import os; os.write(1, b'up\\n'); os.read(0, 1); os.write(1, b'alive')"
        run = DEPLOY["run"].replace(".venv/bin/python -m corkshift", '"$@"')
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, "run", sys.executable, "-c", code, stdin=pipe, stdout=pipe
        )
        assert process.stdout is not None
        assert await process.stdout.readline() == b"up\n"
        process.send_signal(signal.SIGHUP)
        out, _ = await process.communicate(b"x")
        assert (out, process.returncode) == (b"alive", 0)

    run_async(test)


def test_the_interpreter_is_linked_dynamically() -> None:
    # An ELF program with an interpreter segment (PT_INTERP) is loaded by the dynamic loader, which
    # honors LD_PRELOAD.
    data = Path(sys.executable).resolve().read_bytes()
    assert data[:5] == b"\x7fELF\x02"
    start, size, count = *struct.unpack_from("<Q", data, 32), *struct.unpack_from("<HH", data, 54)
    assert 3 in {struct.unpack_from("<I", data, start + n * size)[0] for n in range(count)}


def unexpected_sockets(pid: int) -> list[str]:
    """Named Unix sockets of a process, and its sockets that are neither Unix nor IPv4 sockets."""
    inodes = {
        os.readlink(path)[8:-1]
        for path in Path(f"/proc/{pid}/fd").iterdir()
        if os.readlink(path).startswith("socket:[")
    }
    known: dict[str, str] = {}
    for kind, column in (("tcp", 9), ("udp", 9), ("unix", 6)):
        for row in Path(f"/proc/{pid}/net/{kind}").read_text().splitlines()[1:]:
            cells = row.split()
            known[cells[column]] = cells[7] if kind == "unix" and len(cells) > 7 else ""
    return [known.get(inode, f"unknown {inode}") for inode in inodes if known.get(inode, "?")]


@pytest.mark.parametrize("breach", ["", "child", "unix", "file", "ipv6"])
def test_the_node_serves_within_the_limits_of_the_platform(tmp_path: Path, breach: str) -> None:
    async def test() -> None:
        (tmp_path / "tmp").mkdir()
        box = CacheBox()
        box.listen()
        discovery_server = ScriptedDiscovery({"s0": box})
        discovery_server.start()
        process = Process(tmp_path / "config.json", discovery_server, reserve_port())
        process.write()
        environ = {**os.environ, "PROXY_CONFIG": str(process.path), "TMPDIR": str(tmp_path / "tmp")}
        process.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "tests" / "audited.py"),
            breach,
            cwd=ROOT,
            env=environ,
            stderr=asyncio.subprocess.PIPE,
        )
        process.reading = asyncio.create_task(process._read_log())
        try:
            await process.wait_served("start")
            pid = process.process.pid
            if breach:
                await until(lambda: any("BREACH" in line for line in process.log))
                return
            assert (Path(f"/proc/{pid}/task/{pid}/children")).read_text() == ""
            assert unexpected_sockets(pid) == []
            assert list((tmp_path / "tmp").iterdir()) == []
            assert not any("BREACH" in line for line in process.log)
        finally:
            process.process.kill()
            await process.process.wait()
            await process.reading
            await discovery_server.stop()
            box.close()

    run_async(test)
