"""Traffic of the nodes of a fleet by kind, counted from the trace of a scenario.

Counts are divided by the clients' requests, so that fleets of different sizes compare. Behavior
that is harmless at a single node shows here as a sum over all nodes.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass

# Prefixes of the addresses of boxes and of discovery.
BOX_HOSTS, DISCOVERY_HOSTS = "127.2.", "127.4."


@dataclass(slots=True)
class Traffic:
    """Sums over all nodes of one scenario."""

    # Requests of clients; a client's repeat counts again.
    requests: int = 0
    attempts: int = 0
    # Attempts beyond a request's first: hedged requests and retries.
    repeated_attempts: int = 0
    # Connections that nodes opened to boxes.
    handshakes: int = 0
    # Dials to boxes that did not open a connection.
    failed_dials: int = 0
    # Most connections to boxes that were open at once without a request.
    max_idle_connections: int = 0
    # Connections to discovery, one for each call or watch.
    discovery_connections: int = 0
    # Most connections to discovery opened within one second.
    max_discovery_connections_per_s: int = 0
    refused: int = 0
    failed: int = 0

    def per_request(self, count: int) -> float:
        """Return a count divided by the number of client requests."""
        return count / max(1, self.requests)


def count_traffic(lines: Iterable[str]) -> Traffic:
    """Count the traffic in the lines of a trace (testbed/nights/simulation.py) in one pass."""
    traffic = Traffic()
    # Open connections: address of the node's end and of the box's end.
    open_connections: set[tuple[str, str]] = set()
    # By request: attempts that boxes have not answered yet.
    running: Counter[str] = Counter()
    sent: set[str] = set()
    carrying = 0
    calls: deque[int] = deque()
    for line in lines:
        words = line.split()
        if len(words) < 3:
            continue
        at_us, who, what = int(words[0]), words[1], words[2]
        if who == "client":
            if what == "asks":
                traffic.requests += 1
            elif what == "gets":
                traffic.refused += words[4] in ("429", "503")
                traffic.failed += words[4] not in ("200", "429", "503")
                carrying -= running.pop(words[3], 0)
            elif what == "leaves":
                carrying -= running.pop(words[3], 0)
        elif who[0] == "n" and what == "sends":
            traffic.attempts += 1
            traffic.repeated_attempts += words[3] in sent
            sent.add(words[3])
            running[words[3]] += 1
            carrying += 1
        elif who[0] == "s" and what in ("answers", "turns"):
            request = words[4] if what == "turns" else words[3]
            if running[request] > 0:
                running[request] -= 1
                carrying -= 1
        elif who[0] == "n" and len(words) == 5 and words[4].startswith(BOX_HOSTS):
            end = words[3], words[4]
            if what == "dial":
                traffic.failed_dials += 1
            elif what == "open":
                traffic.handshakes += 1
                traffic.failed_dials -= 1
                open_connections.add(end)
            elif what in ("close", "abort", "reset"):
                open_connections.discard(end)
            traffic.max_idle_connections = max(
                traffic.max_idle_connections, len(open_connections) - max(0, carrying)
            )
        elif (
            who[0] == "n"
            and what == "dial"
            and len(words) == 5
            and words[4].startswith(DISCOVERY_HOSTS)
        ):
            traffic.discovery_connections += 1
            calls.append(at_us)
            while calls[0] < at_us - 1_000_000:
                calls.popleft()
            traffic.max_discovery_connections_per_s = max(
                traffic.max_discovery_connections_per_s, len(calls)
            )
    return traffic
