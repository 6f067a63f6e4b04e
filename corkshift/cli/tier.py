"""`tier show`: shares of the tier-wide limits held by running nodes; `tier run`: runs a script."""

from __future__ import annotations

import http.client
import json
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any, Optional

import orjson

from corkshift.config import address_of

TIMEOUT_S = 3.0
MAX_VIEW_BYTES = 1 << 22


def fetch_view(address: str) -> dict[str, Any]:
    """The tier as seen by a node at its operators' address; ValueError or OSError on failure."""
    host, port = address_of(address)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", "/admin/tier")
        answer = connection.getresponse()
        body = answer.read(MAX_VIEW_BYTES)
    except http.client.HTTPException as error:
        raise ValueError(f"invalid HTTP answer: {type(error).__name__}") from None
    finally:
        connection.close()
    if answer.status == 404:
        raise ValueError(
            "not part of a tier (needs settings.allowed.peers, peers, peer_listen and [tier] "
            "in the operator's file)"
        )
    if answer.status != 200:
        raise ValueError(f"answered with status {answer.status}")
    view = orjson.loads(body)
    if not isinstance(view, dict) or "members" not in view:
        raise ValueError("the answer is not the view of a tier")
    return view


def show(addresses: tuple[str, ...], as_json: bool) -> int:
    """Print the view of each node and the sums of their shares; the exit code."""
    views: dict[str, dict[str, Any]] = {}
    code = 0
    for address in addresses:
        try:
            views[address] = fetch_view(address)
        except (OSError, ValueError) as error:
            print(f"gradeshift tier show: {address}: {error}", file=sys.stderr)
            code = 1
    sums: dict[str, int] = defaultdict(int)
    for view in views.values():
        for lease in view["leases"]:
            sums[_limit_name(lease["bound"], view)] += lease["parts"]
    over = {
        limit: shares
        for limit, shares in sums.items()
        if shares > max(view["whole"] for view in views.values())
    }
    if as_json:
        print(
            orjson.dumps(
                {"nodes": views, "sums": sums, "over": over}, option=orjson.OPT_INDENT_2
            ).decode()
        )
        return 1 if over else code
    for address, view in views.items():
        _print_view(address, view)
    if len(views) > 1 and sums:
        print(
            "shares held by these nodes together (read one after the other, "
            "so a share that moved meanwhile may count twice):"
        )
        for limit, shares in sorted(sums.items()):
            print(f"  {limit:<24} {100.0 * shares / next(iter(views.values()))['whole']:5.1f}%")
    return 1 if over else code


def _limit_name(limit: int, view: dict[str, Any]) -> str:
    return "fetches" if not limit else f"work of {view['names'].get(str(limit)) or limit}"


def _print_view(address: str, view: dict[str, Any]) -> None:
    role = (
        "leader"
        if view["keeps"]
        else f"follows n{view['follows']}"
        if view["follows"] >= 0
        else "no leader known"
    )
    by_state: dict[str, list[str]] = defaultdict(list)
    for member in view["members"]:
        by_state[member["state"]].append(f"n{member['slot']}")
    print(
        f"{address}: n{view['slot']} of {view['count']}, {role}"
        f"{', other nodes have a different tier' if view['disagrees'] else ''}"
    )
    for state in ("alive", "suspect", "dead", "left", "unknown"):
        if by_state[state]:
            print(f"  {state:<8} {' '.join(by_state[state])}")
    for lease in view["leases"]:
        share = 100.0 * lease["parts"] / view["whole"]
        print(
            f"  {_limit_name(lease['bound'], view):<24} {share:5.1f}% of {lease['size']:.4g}, "
            f"for {max(0.0, lease['ends_in_ms']):.0f} ms more"
        )
    line = view["line"]
    print(
        "  line: "
        + (f"shared, {line['digest']}, {line['told']} heavy buckets" if line else "own window only")
    )
    counts = view["counts"]
    print("  datagrams: " + ", ".join(f"{name} {counts[name]}" for name in counts))


def run(path: str, seed: int, virtual: bool, as_json: bool, logs: Optional[str]) -> int:
    """Run a script. Exit code: 0 if every rule held, 1 if not, 2 for an invalid script."""
    from testbed.nights.script import InvalidScript, parse_script
    from testbed.tier.processes import UnsupportedFaults
    from testbed.tier.processes import run as run_processes

    try:
        script = parse_script(Path(path).read_bytes())
        if virtual:
            from testbed.tier.virtual import run as run_virtual

            report = run_virtual(script, seed)
        else:
            folder = Path(logs) if logs else None
            if folder is not None:
                folder.mkdir(parents=True, exist_ok=True)
            report = run_processes(script, seed, folder)
    except (InvalidScript, UnsupportedFaults) as error:
        print(f"gradeshift tier run: {path}: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"gradeshift tier run: {error.filename or path}: {error.strerror}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(report, indent=1))
    else:
        _print_report(report)
    return 1 if report["failures"] else 0


def _print_report(report: dict[str, Any]) -> None:
    requests = report["requests"]
    print(", ".join(f"{name.replace('_', ' ')} {count}" for name, count in requests.items()))
    for at_s, event in report["notes"]:
        print(f"  {at_s:8.3f} s  {event}")
    print(
        f"  reads at the usual box of their key: {100.0 * report['usual']:.1f}%, "
        f"fetches of the order book: {report['fetches']}"
    )
    total = report["whole"]
    for limit, shares in report["most_held"].items():
        print(
            f"  largest share of {limit or 'fetches'} held at once: {100.0 * shares / total:.1f}%"
        )
    for name, cold in report["cold"].items():
        print(
            f"  {name} started cold and got at most {100.0 * cold['worst']:.0f}% of its budget: "
            f"{cold['work_ms']}"
        )
    for name, members in report["members"].items():
        print(
            f"  {name} sees {len(members)}{' and is leader' if name in report['keepers'] else ''}"
        )
    for failure in report["failures"]:
        print(f"BROKEN {failure}")
