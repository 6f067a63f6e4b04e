"""`members` and `sources check` against a node and a name server on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

from loopback import CacheBox, run_async, until
from test_process import ROOT, running
from virtual import SERVICE

from testbed.systems.dns import NameServer, Zone


async def command(
    *arguments: str, environ: dict[str, str] | None = None
) -> tuple[int | None, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "corkshift",
        *arguments,
        cwd=ROOT,
        env={**os.environ, **(environ or {})},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, errors = await process.communicate()
    return process.returncode, out.decode(), errors.decode()


def test_members_shows_the_boxes_of_a_running_node_and_their_sources(tmp_path: Path) -> None:
    async def test() -> None:
        zone = Zone()
        server = NameServer(("127.0.0.1", 0), zone)
        server.listen()
        zone.set_boxes({"s0": ("127.0.0.1", 1), "spare": ("127.0.0.1", 2)})
        operator, view = tmp_path / "op.toml", tmp_path / "members.sock"
        text = (
            f'format = 1\n[sources]\nmembers_socket = "{view}"\n'
            f'[sources.dns]\nservice = "{SERVICE}"\n'
        )
        operator.write_text(text + f'resolvers = ["127.0.0.1:{server.address[1]}"]\n')
        box = CacheBox()
        async with running(
            tmp_path / "config.json", box, {"GRADESHIFT_OPERATOR": str(operator)}
        ) as (process, discovery_server):
            zone.set_boxes({"s0": ("127.0.0.1", box.address[1]), "spare": ("127.0.0.1", 2)})
            process.process.send_signal(signal.SIGHUP)  # the file is unchanged
            await until(lambda: any("reload: discovery" in line for line in process.log))
            operator.write_text(
                text + f'resolvers = ["127.0.0.1:{server.address[1]}"]\nqueries_per_s = 9.0\n'
            )
            process.process.send_signal(signal.SIGHUP)
            rows: dict[str, dict[str, object]] = {}
            while "agreed" not in {row["rule"] for row in rows.values()}:
                code, out, errors = await command("members", "--socket", str(view), "--json")
                assert (code, errors) == (0, "")
                rows = {str(row["address"]): row for row in json.loads(out)["boxes"]}
            assert rows[f"127.0.0.1:{box.address[1]}"]["name"] == "s0"
            assert rows["127.0.0.1:2"]["rule"] == "only dns"
            assert (view.stat().st_mode & 0o777) == 0o600
            code, out, _ = await command("--operator", str(operator), "members")
            assert code == 0 and "s0" in out and "agreed" in out and "only dns" in out
            where = {"PROXY_CONFIG": str(tmp_path / "config.json")}
            code, out, _ = await command(
                "--operator", str(operator), "sources", "check", "--json", environ=where
            )
            view_now = json.loads(out)
            assert code == 0 and {box["rule"] for box in view_now["boxes"]} == {
                "agreed",
                "only dns",
            }
        code, _, errors = await command("members", "--socket", str(view))
        assert code == 1 and errors.count("\n") == 1
        server.how = "refused"
        code, out, errors = await command("--operator", str(operator), "sources", "check")
        assert code == 1 and "REFUSED" in errors and "dns" in out
        server.close()

    run_async(test)
