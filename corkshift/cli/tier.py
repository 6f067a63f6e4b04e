"""`tier show`: what running nodes hold of the tier's bounds; `tier run`: a tier of real processes by a script."""

from __future__ import annotations

import http.client
import json
import sys
from collections import defaultdict
from pathlib import Path
from typing import Any, Optional

import orjson

from corkshift.config import address_of

WITHIN_S = 3.0
LONGEST = 1 << 22  # bytes of a view


def view_of(address: str) -> dict[str, Any]:
    """What a node at its operators' address tells of the tier; ValueError or OSError where it does not."""
    host, port = address_of(address)
    connection = http.client.HTTPConnection(host, port, timeout=WITHIN_S)
    try:
        connection.request("GET", "/admin/tier")
        answer = connection.getresponse()
        body = answer.read(LONGEST)
    except http.client.HTTPException as error:
        raise ValueError(f"no answer that can be read: {type(error).__name__}") from None
    finally:
        connection.close()
    if answer.status == 404:
        raise ValueError(
            "takes no part in a tier (settings.allowed.peers, peers and peer_listen, [tier] of the operator's file)"
        )
    if answer.status != 200:
        raise ValueError(f"answers {answer.status}")
    view = orjson.loads(body)
    if not isinstance(view, dict) or "members" not in view:
        raise ValueError("answers with no view of a tier")
    return view


def show(addresses: tuple[str, ...], as_json: bool) -> int:
    """Print what each node knows and holds, and the sums over those that were asked; the exit code."""
    views: dict[str, dict[str, Any]] = {}
    code = 0
    for address in addresses:
        try:
            views[address] = view_of(address)
        except (OSError, ValueError) as error:
            print(f"gradeshift tier show: {address}: {error}", file=sys.stderr)
            code = 1
    sums: dict[str, int] = defaultdict(int)
    for view in views.values():
        for lease in view["leases"]:
            sums[_name(lease["bound"], view)] += lease["parts"]
    over = {
        bound: parts
        for bound, parts in sums.items()
        if parts > max(view["whole"] for view in views.values())
    }
    if as_json:
        print(
            orjson.dumps(
                {"nodes": views, "sums": sums, "over": over}, option=orjson.OPT_INDENT_2
            ).decode()
        )
        return 1 if over else code
    for address, view in views.items():
        _print(address, view)
    if len(views) > 1 and sums:
        print(
            "parts held by all of these (read one after the other, so a part that moved meanwhile may count twice):"
        )
        for bound, parts in sorted(sums.items()):
            print(f"  {bound:<24} {100.0 * parts / next(iter(views.values()))['whole']:5.1f}%")
    return 1 if over else code


def _name(bound: int, view: dict[str, Any]) -> str:
    return "fetches" if not bound else f"work of {view['names'].get(str(bound)) or bound}"


def _print(address: str, view: dict[str, Any]) -> None:
    role = (
        "keeper"
        if view["keeps"]
        else f"follows n{view['follows']}"
        if view["follows"] >= 0
        else "no keeper known"
    )
    by_state: dict[str, list[str]] = defaultdict(list)
    for member in view["members"]:
        by_state[member["state"]].append(f"n{member['slot']}")
    print(
        f"{address}: n{view['slot']} of {view['count']}, {role}{', others disagree on the tier' if view['disagrees'] else ''}"
    )
    for state in ("alive", "suspect", "dead", "left", "unknown"):
        if by_state[state]:
            print(f"  {state:<8} {' '.join(by_state[state])}")
    for lease in view["leases"]:
        share = 100.0 * lease["parts"] / view["whole"]
        print(
            f"  {_name(lease['bound'], view):<24} {share:5.1f}% of {lease['size']:.4g}, for {max(0.0, lease['ends_in_ms']):.0f} ms more"
        )
    line = view["line"]
    print(
        "  line: "
        + (f"common, {line['digest']}, {line['told']} heavy buckets" if line else "its own window")
    )
    counts = view["counts"]
    print("  datagrams: " + ", ".join(f"{name} {counts[name]}" for name in counts))


def run(path: str, seed: int, virtual: bool, as_json: bool, logs: Optional[str]) -> int:
    """Play a script; the exit code: 0 where every rule held, 1 where one did not, 2 where there is nothing to play."""
    from testbed.nights.script import InvalidScript, parse_script
    from testbed.tier.processes import Unplayable
    from testbed.tier.processes import run as play

    try:
        script = parse_script(Path(path).read_bytes())
        if virtual:
            from testbed.tier.virtual import run as play_virtual

            report = play_virtual(script, seed)
        else:
            folder = Path(logs) if logs else None
            if folder is not None:
                folder.mkdir(parents=True, exist_ok=True)
            report = play(script, seed, folder)
    except (InvalidScript, Unplayable) as error:
        print(f"gradeshift tier run: {path}: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"gradeshift tier run: {error.filename or path}: {error.strerror}", file=sys.stderr)
        return 2
    if as_json:
        print(json.dumps(report, indent=1))
    else:
        _tell(report)
    return 1 if report["failures"] else 0


def _tell(report: dict[str, Any]) -> None:
    requests = report["requests"]
    print(", ".join(f"{name.replace('_', ' ')} {count}" for name, count in requests.items()))
    for at, what in report["notes"]:
        print(f"  {at:8.3f} s  {what}")
    print(
        f"  reads at their key's usual box: {100.0 * report['usual']:.1f}%, fetches of the order book: {report['fetches']}"
    )
    whole = report["whole"]
    for bound, parts in report["most_held"].items():
        print(f"  most parts of {bound or 'fetches'} held at once: {100.0 * parts / whole:.1f}%")
    for name, cold in report["cold"].items():
        print(
            f"  {name} began cold and got at most {100.0 * cold['worst']:.0f}% of its budget: {cold['work_ms']}"
        )
    for name, members in report["members"].items():
        print(
            f"  {name} sees {len(members)}{' and is keeper' if name in report['keepers'] else ''}"
        )
    for failure in report["failures"]:
        print(f"BROKEN {failure}")
