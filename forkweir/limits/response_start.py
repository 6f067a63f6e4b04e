"""When the start of a response is passed on although its end is not in sight.

A response of up to MAX_BUFFERED_BODY_BYTES counts by its last byte: it is held until it is
complete, so that another attempt can still replace it. A larger one counts by its first bytes, and
must not be cut off while its server gives it. Where the server announces no length, the node can't
tell the two apart until more than that has come. `response_end` says how long it may go on then.

Pure: no I/O and no clock. Times are in ms.
"""

from __future__ import annotations

from dataclasses import dataclass

# Share of an attempt's time after which a response that has begun and rests is passed on. A hedge
# has been sent and mostly answered by then.
PASS_ON_SHARE = 7 / 8
# The same, for a response that arrives in pieces.
PASS_ON_WITH_INPUT_SHARE = 1 / 2


@dataclass(frozen=True, slots=True)
class PassOnTimes:
    """Times on the caller's clock from which a response is passed on; None: never for this cause.

    with_input_ms: when a piece of it arrives. at_rest_ms: while nothing of it arrives.
    """

    with_input_ms: float
    at_rest_ms: float | None


def pass_on_times(now: float, left_ms: float, known_large: bool, repeatable: bool) -> PassOnTimes:
    """Return when a response of large or unknown size is passed on, its head having arrived now.

    left_ms: of the attempt's time. known_large: its announced length is too large to buffer.
    repeatable: the request may be refused or sent again whatever has run. Where it may not be, the
    client gets its failure in time rather than a response that may never end.
    """
    at_rest = known_large or repeatable
    return PassOnTimes(
        now if known_large else now + PASS_ON_WITH_INPUT_SHARE * left_ms,
        now + PASS_ON_SHARE * left_ms if at_rest else None,
    )
