"""An upper bound for a night: what a scheduler that knows everything could have served in time.

A fluid linear program over slices of SLICE_MS. Each request that a client first asks for may be worked on, in any parts, in
the slices that its wanted time touches, by boxes that are taken together as one machine of their summed capacity (cold,
slow, hanging, dead and draining ones as they were), and each write needs a place of the order book. What it leaves out makes
the bound higher and never lower: fetches of reads, queues, the way of keys to boxes, nodes that are down, the network.

Two bounds: in requests (`served_at_most`), which under overload takes the cheapest, and in worth for work
(`worth_at_most`), as the site counts it: a request is worth its class's worth times its work. The second takes what
comes in one slice of one class together, so that it is solved for nights of any size.

scipy (HiGHS) solves them; it is among the development requirements and imported only here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Optional

SLICE_MS = 100.0


@dataclass(frozen=True, slots=True)
class Demand:
    """One request that a client first asked for."""

    at_ms: float  # of virtual time
    lane: str
    work_ms: float
    aim_ms: float
    worth: float
    write: bool

    @property
    def value(self) -> float:
        """What an answer in time is worth: the worth of its class for each ms of work."""
        return self.worth * self.work_ms


@dataclass(slots=True)
class Supply:
    """What the boxes and the order book could do, sampled as the night goes."""

    work: list[float] = field(
        default_factory=list
    )  # by slice: ms of work in a ms, summed over samples,
    fetches: list[float] = field(default_factory=list)  # places of the order book a ms, likewise,
    samples: list[int] = field(default_factory=list)  # and how many there were

    def add_sample(self, at_ms: float, work: float, fetches: float) -> None:
        """Add one sample."""
        n = int(at_ms / SLICE_MS)
        while len(self.samples) <= n:
            self.work.append(0.0)
            self.fetches.append(0.0)
            self.samples.append(0)
        self.work[n] += work
        self.fetches[n] += fetches
        self.samples[n] += 1

    def slice_capacity(self, n: int) -> tuple[float, float]:
        """Work in ms, and writes, that fit into a slice; one without a sample is like the last before it."""
        while n > 0 and (n >= len(self.samples) or not self.samples[n]):
            n -= 1
        if n >= len(self.samples) or not self.samples[n]:
            return 0.0, 0.0
        return SLICE_MS * self.work[n] / self.samples[n], SLICE_MS * self.fetches[n] / self.samples[
            n
        ]


def max_served(demands: list[Demand], supply: Supply) -> dict[str, float]:
    """How many requests of each class an all-knowing scheduler serves in time where it maximises their worth.

    ImportError where scipy is not installed; RuntimeError where the program can't be solved.
    """
    if not demands:
        return {}
    spans = [(int(d.at_ms / SLICE_MS), int((d.at_ms + d.aim_ms) / SLICE_MS)) for d in demands]
    slices = max(last for _, last in spans) + 1
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    gains: list[float] = []
    owner: list[int] = []
    jobs = len(demands)
    for n, (demand, (first, last)) in enumerate(zip(demands, spans, strict=True)):
        for at in range(first, last + 1):
            column = len(gains)
            gains.append(-demand.worth)
            owner.append(n)
            rows += (n, jobs + at)
            columns += (column, column)
            values += (1.0, demand.work_ms)
            if demand.write:
                rows.append(jobs + slices + at)
                columns.append(column)
                values.append(1.0)
    fits = [supply.slice_capacity(at) for at in range(slices)]
    limits = [1.0] * jobs + [work for work, _ in fits] + [writes for _, writes in fits]
    served: dict[str, float] = {}
    for column, fraction in enumerate(_solve(gains, rows, columns, values, limits, 1.0)):
        class_name = demands[owner[column]].lane
        served[class_name] = served.get(class_name, 0.0) + fraction
    return served


def _solve(
    costs: list[float],
    rows: list[int],
    columns: list[int],
    values: list[float],
    limits: list[float],
    upper_bound: Optional[float],
) -> list[float]:
    """The variables, each from 0 to most (None: no bound), at the least cost; rows, columns and values place what the limits bound.

    ImportError where scipy is not installed; RuntimeError where the program can't be solved.
    """
    from scipy.optimize import linprog
    from scipy.sparse import coo_array

    matrix = coo_array((values, (rows, columns)), shape=(len(limits), len(costs))).tocsr()
    solved = linprog(costs, A_ub=matrix, b_ub=limits, bounds=(0.0, upper_bound), method="highs")
    if solved.status != 0:
        raise RuntimeError(f"the bound can't be found: {solved.message}")
    return [float(value) for value in solved.x]


@dataclass(frozen=True, slots=True)
class BestSchedule:
    """What an all-knowing scheduler serves in time where it maximises worth for work."""

    by_class: dict[str, float]  # worth x ms of work,
    by_slice: list[float]  # and by the slice in which clients first asked

    @property
    def total(self) -> float:
        return sum(self.by_class.values())


def max_value(demands: list[Demand], supply: Supply) -> BestSchedule:
    """The most worth for work that can be served in time (worth x ms of work).

    ImportError where scipy is not installed; RuntimeError where the program can't be solved.
    """
    if not demands:
        return BestSchedule({}, [])
    groups: dict[tuple[int, str], list[Demand]] = {}
    for demand in demands:
        groups.setdefault((int(demand.at_ms / SLICE_MS), demand.lane), []).append(demand)
    slices = max(int((d.at_ms + d.aim_ms) / SLICE_MS) for d in demands) + 1
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    gains: list[float] = []
    owners: list[tuple[int, str]] = []
    limits = [sum(d.work_ms for d in group) for group in groups.values()]
    for n, ((first, class_name), group) in enumerate(groups.items()):
        last = max(int((d.at_ms + d.aim_ms) / SLICE_MS) for d in group)
        heaviest = max(d.work_ms for d in group)  # the fewest writes for so much work
        for at in range(first, last + 1):
            column = len(gains)
            gains.append(-group[0].worth)
            owners.append((first, class_name))
            rows += (n, len(groups) + at)
            columns += (column, column)
            values += (1.0, 1.0)
            if group[0].write:
                rows.append(len(groups) + slices + at)
                columns.append(column)
                values.append(1.0 / heaviest)
    fits = [supply.slice_capacity(at) for at in range(slices)]
    limits += [work for work, _ in fits] + [writes for _, writes in fits]
    by_class: dict[str, float] = {}
    by_slice = [0.0] * slices
    for column, work in enumerate(_solve(gains, rows, columns, values, limits, None)):
        first, class_name = owners[column]
        value = -gains[column] * work
        by_class[class_name] = by_class.get(class_name, 0.0) + value
        by_slice[first] += value
    return BestSchedule(by_class, by_slice)
