"""Validates data against a schema of msgspec structs and reports every fault by its path.

msgspec stops at the first fault, so structs are walked here and each field is converted on its own.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, Union

import msgspec


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a file.

    path: dotted path of the value, with list indices in brackets. message: what is allowed there.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path or 'the file'}: {self.message}"


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """A table of a file. Subclasses declare the keys.

    `cross_field_faults` is overridden to check values that depend on each other.
    """

    def cross_field_faults(self) -> Iterator[Fault]:
        """Faults of values that are valid alone but not together. Paths start at the table."""
        return iter(())


def validate(schema: type[Table], data: object, reject_unknown_keys: bool = True) -> list[Fault]:
    """All faults of `data`, in the order of the schema; an empty list means that it converts.

    reject_unknown_keys: whether keys that the schema lacks are faults; else they are ignored.
    """
    return list(_table_faults(schema, data, "", reject_unknown_keys))


def _table_faults(schema: type[Table], data: object, path: str, closed: bool) -> Iterator[Fault]:
    if not isinstance(data, dict):
        yield Fault(path, f"must be a table, got {_type_name(data)}")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(schema)}
    faults: list[Fault] = []
    if closed:
        for key in data.keys() - fields.keys():
            faults.append(
                Fault(
                    _join_path(path, str(key)),
                    f"unknown key; allowed here: {', '.join(fields) or 'none'}",
                )
            )
        faults.sort(key=lambda fault: fault.path)
    for key, field in fields.items():
        if key in data:
            faults += _value_faults(field.type, data[key], _join_path(path, key), closed)
        elif field.required:
            faults.append(Fault(_join_path(path, key), "missing"))
    yield from faults
    if not faults:
        for fault in msgspec.convert(data, schema).cross_field_faults():
            yield Fault(_join_path(path, fault.path) if fault.path else path, fault.message)


def _value_faults(expected: Any, data: object, path: str, closed: bool) -> Iterator[Fault]:
    bare_type = (
        typing.get_args(expected)[0]
        if typing.get_origin(expected) is typing.Annotated
        else expected
    )
    choices = (
        typing.get_args(bare_type)
        if typing.get_origin(bare_type) in (Union, types.UnionType)
        else (bare_type,)
    )
    table = next((c for c in choices if isinstance(c, type) and issubclass(c, Table)), None)
    if table is not None and not (data is None and type(None) in choices):
        yield from _table_faults(table, data, path, closed)
        return
    inner = typing.get_args(bare_type)
    if (
        typing.get_origin(bare_type) in (list, dict)
        and isinstance(inner[-1], type)
        and issubclass(inner[-1], Table)
    ):
        if typing.get_origin(bare_type) is list and isinstance(data, list):
            for n, item in enumerate(data):
                yield from _table_faults(inner[-1], item, f"{path}[{n}]", closed)
            return
        if typing.get_origin(bare_type) is dict and isinstance(data, dict):
            for key, item in data.items():
                yield from _table_faults(inner[-1], item, _join_path(path, str(key)), closed)
            return
    try:
        msgspec.convert(data, expected)
    except msgspec.ValidationError as error:
        text, _, location = str(error).partition(" - at `$")
        yield Fault(path + location.rstrip("`"), f"{text[:1].lower()}{text[1:]}, got {data!r:.60}")


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _type_name(data: object) -> str:
    return {
        list: "a list",
        str: "text",
        int: "a number",
        float: "a number",
        bool: "true or false",
    }.get(type(data), "nothing")
