"""Upper bound of a scenario: what an all-knowing scheduler could have served in time.

A fluid linear program over slices of SLICE_MS. Each request that a client makes for the first time
may be worked on, in any fractions, in the slices between its arrival and its aim. The boxes count
as one machine with their summed capacity (cold, slow, hanging, dead and draining boxes as they
were), and each write needs a place of the order book. The model leaves out fetches of reads,
queues, the placement of keys, nodes that are down, and the network; leaving them out can only raise
the bound.

There are two bounds. `max_served` counts requests, which under overload favors the cheapest.
`max_value` counts value for work, as the site does: a request has its class's value times its work.
It groups the requests of one class in one slice, so that it can be solved for scenarios of any
size.

The solver is HiGHS in scipy, a development requirement that is imported only here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Optional

# Length of a time slice.
SLICE_MS = 100.0


@dataclass(frozen=True, slots=True)
class Demand:
    """One request that a client makes for the first time."""

    # Virtual time of the request.
    at_ms: float
    # Class of the request.
    class_name: str
    work_ms: float
    # Time from the request within which an answer counts as in time.
    aim_ms: float
    # Value of the class per ms of work.
    class_value: float
    write: bool

    @property
    def value(self) -> float:
        """Value of an answer in time: the value of its class for each ms of work."""
        return self.class_value * self.work_ms


@dataclass(slots=True)
class Supply:
    """Capacity of the boxes and the order book, sampled during the scenario."""

    # By slice: capacity in ms of work per ms, summed over samples.
    work: list[float] = field(default_factory=list)
    # By slice: fetches that the order book completes per ms, summed over samples.
    fetches: list[float] = field(default_factory=list)
    # By slice: number of samples.
    samples: list[int] = field(default_factory=list)

    def add_sample(self, at_ms: float, work: float, fetches: float) -> None:
        """Add one sample to the slice of a time."""
        n = int(at_ms / SLICE_MS)
        while len(self.samples) <= n:
            self.work.append(0.0)
            self.fetches.append(0.0)
            self.samples.append(0)
        self.work[n] += work
        self.fetches[n] += fetches
        self.samples[n] += 1

    def slice_capacity(self, n: int) -> tuple[float, float]:
        """Return the ms of work and the writes that fit into a slice.

        A slice without a sample has the capacity of the last sampled slice before it.
        """
        while n > 0 and (n >= len(self.samples) or not self.samples[n]):
            n -= 1
        if n >= len(self.samples) or not self.samples[n]:
            return 0.0, 0.0
        return SLICE_MS * self.work[n] / self.samples[n], SLICE_MS * self.fetches[n] / self.samples[
            n
        ]


def max_served(demands: list[Demand], supply: Supply) -> dict[str, float]:
    """Return the requests of each class served in time by a schedule of the highest total value.

    Raises ImportError without scipy, RuntimeError if the program cannot be solved.
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
            gains.append(-demand.class_value)
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
        class_name = demands[owner[column]].class_name
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
    """Minimize the cost over variables from 0 to upper_bound (None: unbounded).

    rows, columns and values give the matrix of the constraints, and limits their upper bounds.

    Raises ImportError without scipy, RuntimeError if the program cannot be solved.
    """
    from scipy.optimize import linprog
    from scipy.sparse import coo_array

    matrix = coo_array((values, (rows, columns)), shape=(len(limits), len(costs))).tocsr()
    solved = linprog(costs, A_ub=matrix, b_ub=limits, bounds=(0.0, upper_bound), method="highs")
    if solved.status != 0:
        raise RuntimeError(f"the linear program of the bound cannot be solved: {solved.message}")
    return [float(value) for value in solved.x]


@dataclass(frozen=True, slots=True)
class BestSchedule:
    """Schedule of an all-knowing scheduler that maximizes the value of work served in time."""

    # Value (class value x ms of work) by class.
    by_class: dict[str, float]
    # Value by the slice in which clients made the requests.
    by_slice: list[float]

    @property
    def total(self) -> float:
        return sum(self.by_class.values())


def max_value(demands: list[Demand], supply: Supply) -> BestSchedule:
    """Return the highest value of work that can be served in time (class value x ms of work).

    Raises ImportError without scipy, RuntimeError if the program cannot be solved.
    """
    if not demands:
        return BestSchedule({}, [])
    groups: dict[tuple[int, str], list[Demand]] = {}
    for demand in demands:
        groups.setdefault((int(demand.at_ms / SLICE_MS), demand.class_name), []).append(demand)
    slices = max(int((d.at_ms + d.aim_ms) / SLICE_MS) for d in demands) + 1
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    gains: list[float] = []
    owners: list[tuple[int, str]] = []
    limits = [sum(d.work_ms for d in group) for group in groups.values()]
    for n, ((first, class_name), group) in enumerate(groups.items()):
        last = max(int((d.at_ms + d.aim_ms) / SLICE_MS) for d in group)
        # Writes are counted as if all were the heaviest, the fewest for the work.
        heaviest = max(d.work_ms for d in group)
        for at in range(first, last + 1):
            column = len(gains)
            gains.append(-group[0].class_value)
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
