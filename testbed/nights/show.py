"""Readable timeline of one request, connection, box or node from a trace."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator


def timeline(lines: Iterable[str], about: str = "") -> Iterator[str]:
    """Yield the events that name something as a word, with their times and the gaps in ms.

    An empty name yields all events.
    """
    name_pattern = re.compile(rf"(?<![\w.]){re.escape(about)}(?![\w.])") if about else None
    last = None
    for line in lines:
        stamp, _, what = line.rstrip("\n").partition(" ")
        if not stamp.isdigit() or (name_pattern is not None and not name_pattern.search(what)):
            continue
        at = int(stamp)
        gap = "" if last is None else f"+{(at - last) / 1000:.3f}"
        last = at
        yield f"{at / 1000:12.3f} ms {gap:>12}  {what}"
