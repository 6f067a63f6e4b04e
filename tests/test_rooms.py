"""Import rules: no import cycles, and each package imports only what it may."""

from __future__ import annotations

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ("forkweir", "corkshift", "testbed")


def module_of(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {
    module_of(path): path for name in PACKAGES for path in sorted((ROOT / name).rglob("*.py"))
}


def imports(path: Path, late: bool) -> set[str]:
    """The project's modules that a file imports; late: also those imported within functions."""
    found: set[str] = set()
    tree = ast.parse(path.read_text())
    nodes = list(ast.walk(tree))
    if not late:
        inside = {
            id(node)
            for one in nodes
            if isinstance(one, ast.FunctionDef | ast.AsyncFunctionDef)
            for node in ast.walk(one)
        }
        nodes = [node for node in nodes if id(node) not in inside]
    for node in nodes:
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            found.add(node.module)
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
    return found & MODULES.keys()


def import_cycles(graph: dict[str, set[str]]) -> list[list[str]]:
    """The strongly connected components of more than one module (Tarjan 1972)."""
    index: dict[str, int] = {}
    low: dict[str, int] = {}
    stack: list[str] = []
    found: list[list[str]] = []

    def visit(name: str) -> None:
        index[name] = low[name] = len(index)
        stack.append(name)
        for other in sorted(graph[name]):
            if other not in index:
                visit(other)
                low[name] = min(low[name], low[other])
            elif other in stack:
                low[name] = min(low[name], index[other])
        if low[name] == index[name]:
            component = stack[stack.index(name) :]
            del stack[stack.index(name) :]
            if len(component) > 1:
                found.append(sorted(component))

    for name in sorted(graph):
        if name not in index:
            visit(name)
    return found


def test_no_import_cycles() -> None:
    # A module may import from the package that it is in, whose __init__ re-exports its names.
    graph = {
        name: {other for other in imports(path, True) if not name.startswith(f"{other}.")} - {name}
        for name, path in MODULES.items()
    }
    assert import_cycles(graph) == []
    assert import_cycles({"a": {"b"}, "b": {"c"}, "c": {"a"}, "d": {"a"}}) == [["a", "b", "c"]]


def test_forkweir_imports_only_itself_and_the_node_nothing_of_the_testbed() -> None:
    for name, path in MODULES.items():
        known = imports(path, late=True)
        if name.startswith("forkweir"):
            assert all(other.startswith("forkweir") for other in known), name
        elif name.startswith("corkshift") and not name.startswith("corkshift.cli"):
            assert not any(other.startswith("testbed") for other in known), name


def test_every_package_is_in_the_distribution() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())
    assert project["project"]["name"] == "gradeshift"
    packages = {name for name, path in MODULES.items() if path.name == "__init__.py"}
    assert set(project["tool"]["setuptools"]["packages"]) == packages
