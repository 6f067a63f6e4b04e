"""Until when a response that may turn out to be small is waited for once it is passed on.

A response of up to MAX_BUFFERED_BODY_BYTES counts by its last byte, so it has to end by the time of
its client. A larger one must not be cut off while its server gives it. Where no length is announced
the two look alike until more than that has come, and a server that gives a large one may rest. What
tells a small one that never ends is that it goes on in small pieces.

Pure: no I/O and no clock. Times are in ms on the caller's clock.
"""

from __future__ import annotations

# A final answer may come this long after the client's deadline.
FINAL_ANSWER_SLACK_MS = 400.0
# Longest rest of a response that may turn out to be large.
MAX_REST_MS = 2_000.0
# Bytes that arrive within this time are one burst.
BURST_MS = 100.0
# A server that gives less is not giving a large response: it would take over 8 s for 64 KiB. The
# slowest clients take eight times as much.
MIN_BYTES_PER_MS = 8.0


class ResponseEnd:
    """The time limit of one response, from the arrival of its head.

    maybe_large: its length isn't known.
    """

    __slots__ = ("_maybe_large", "_burst_ms", "_burst_bytes", "_bursts", "_client_wait_ms")

    def __init__(self, now: float, maybe_large: bool) -> None:
        self._maybe_large = maybe_large
        self._burst_ms = now  # start of the last burst, at first the head
        self._burst_bytes = 0
        self._bursts = 0
        self._client_wait_ms = 0.0

    def record_read(self, now: float, size: int) -> None:
        """Record that `size` bytes behind the head have arrived, framing and trailers included."""
        if self._bursts and now - self._burst_ms < BURST_MS:
            self._burst_bytes += size
            return
        # A server may rest behind the head and behind the first bytes, however few they are.
        if self._bursts > 1 and self._burst_bytes < MIN_BYTES_PER_MS * (now - self._burst_ms):
            self._maybe_large = False
        self._bursts += 1
        self._burst_ms, self._burst_bytes = now, size

    def record_client_wait(self, waited_ms: float) -> None:
        """Record time in which the response waited for its client to take what had come of it."""
        self._client_wait_ms += waited_ms

    def wait_ms(self, now: float, client_left_ms: float) -> float:
        """Return for how long more of the response may be waited for, negative if it is over.

        client_left_ms: how long its client still waits.
        """
        answer_ms = client_left_ms + FINAL_ANSWER_SLACK_MS + self._client_wait_ms
        if not self._maybe_large:
            return answer_ms
        return max(answer_ms, self._burst_ms + MAX_REST_MS - now)
