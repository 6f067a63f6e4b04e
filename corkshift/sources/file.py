"""A file of known boxes as a source, read at the start and on SIGHUP."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from typing import Annotated, Optional

import msgspec

from corkshift import seam
from corkshift.cli.schema import Fault, Table, validate
from corkshift.config import address_of
from corkshift.sources import Sink
from corkshift.sources.options import FileTable
from forkweir.known.membership import Claim


class BoxTable(Table, frozen=True, kw_only=True):
    """`[[box]]`: one box."""

    address: str
    name: Annotated[str, msgspec.Meta(max_length=128)] = ""
    zone: str = ""
    kind: str = ""
    weight: Optional[Annotated[float, msgspec.Meta(gt=0.0, le=1_000.0)]] = None
    priority: Annotated[int, msgspec.Meta(ge=0, le=65_535)] = 0
    draining: bool = False

    def cross_field_faults(self) -> Iterator[Fault]:
        try:
            address_of(self.address)
        except ValueError as error:
            yield Fault("address", str(error))


class BoxFile(Table, frozen=True, kw_only=True):
    """The complete file of boxes."""

    box: list[BoxTable]

    def cross_field_faults(self) -> Iterator[Fault]:
        for field in ("address", "name"):
            seen: set[str] = set()
            for n, box in enumerate(self.box):
                value = getattr(box, field)
                if value and value in seen:
                    yield Fault(f"box[{n}].{field}", f"duplicate value: {value!r:.80}")
                seen.add(value)


def parse_box_file(text: bytes) -> list[Claim]:
    """The boxes in the text of a file; ValueError with all faults, separated by semicolons."""
    try:
        data = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"not TOML: {error}") from None
    if faults := validate(BoxFile, data):
        raise ValueError("; ".join(map(str, faults)))
    return [
        Claim(
            address_of(box.address),
            "draining" if box.draining else "in",
            box.name,
            box.zone,
            box.kind,
            weight=box.weight,
            priority=box.priority,
        )
        for box in msgspec.convert(data, BoxFile).box
    ]


class FileSource:
    """Reports the boxes of a file. An invalid or unreadable file leaves the last view in use."""

    def __init__(self, sink: Sink, options: FileTable) -> None:
        self._sink = sink
        self._options = options

    def start(self) -> None:
        """Read the file and report its boxes or the failure."""
        try:
            claims = parse_box_file(seam.read_file(self._options.path))
        except OSError as error:
            self._sink.failed("file", f"{self._options.path}: {error.strerror}")
        except ValueError as error:
            self._sink.failed("file", f"{self._options.path}: {error}")
        else:
            self._sink.update("file", claims)

    def close(self) -> None:
        """Nothing to stop: the file is only read in `start` and `reload`."""
        pass

    def reload(self, options: FileTable) -> None:
        """Read the file again, possibly from another path."""
        self._options = options
        self.start()
