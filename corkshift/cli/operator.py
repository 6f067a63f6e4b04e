"""The operator's file: optional features beyond the platform's configuration.

See docs/operator-file.md.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from typing import Annotated, Literal, Optional

import msgspec

from corkshift import seam
from corkshift.cli.schema import Fault, Table, validate
from corkshift.sources.options import SourcesTable
from corkshift.tier.options import TierTable

Count = Annotated[int, msgspec.Meta(ge=1, le=256)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Rate = Annotated[float, msgspec.Meta(gt=0.0, le=5_000.0)]
Seconds = Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]


class BadOperatorFile(ValueError):
    """The operator's file can't be read or has faults; the message has one line for each."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        super().__init__("\n".join(f"{path}: {fault}" for fault in faults))
        self.faults = faults


class DemoTable(Table, frozen=True, kw_only=True):
    """`[demo]`: size of the installation that `gradeshift demo` starts."""

    boxes: Count = 6
    cold_boxes: Annotated[int, msgspec.Meta(ge=0, le=256)] = 0
    clients: Count = 24
    requests_per_s: Rate = 150.0
    write_share: Share = 0.08
    keys: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 2_000
    book_places: Count = 8
    seconds: Optional[Seconds] = None

    def cross_field_faults(self) -> Iterator[Fault]:
        if self.cold_boxes >= self.boxes:
            yield Fault(
                "cold_boxes", f"must be less than boxes ({self.boxes}), got {self.cold_boxes}"
            )


class OperatorFile(Table, frozen=True, kw_only=True):
    """The complete file. A feature whose table is missing is off."""

    format: Literal[1]
    demo: Optional[DemoTable] = None
    sources: Optional[SourcesTable] = None
    tier: Optional[TierTable] = None


def parse_operator_file(text: bytes, path: str) -> OperatorFile:
    """Parse the text of a file; BadOperatorFile names every fault. path: for messages."""
    try:
        data = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise BadOperatorFile(path, [Fault("", f"not TOML: {error}")]) from None
    if faults := validate(OperatorFile, data):
        raise BadOperatorFile(path, faults)
    return msgspec.convert(data, OperatorFile)


def load_operator_file(path: str) -> OperatorFile:
    """Read and parse a file; BadOperatorFile also where it can't be opened."""
    try:
        text = seam.read_file(path)
    except OSError as error:
        raise BadOperatorFile(path, [Fault("", f"cannot read: {error.strerror}")]) from None
    return parse_operator_file(text, path)
