"""Runs the node under an audit hook that reports and refuses what the platform forbids.

For test_deploy. A violation can be committed on purpose, to show that it is detected: the first
argument names it, or is empty.
"""

from __future__ import annotations

import os
import runpy
import socket
import sys
import threading
from typing import Any

CHILDREN = {
    "subprocess.Popen",
    "os.fork",
    "os.forkpty",
    "os.posix_spawn",
    "os.exec",
    "os.system",
    "pty.spawn",
}
CHANGES = {
    "os.mkdir",
    "os.rename",
    "os.remove",
    "os.rmdir",
    "os.link",
    "os.symlink",
    "os.truncate",
    "os.chmod",
    "os.mkfifo",
}
WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND
TEMPORARY = os.path.realpath(os.environ["TMPDIR"]) + os.sep


def violation_of(event: str, args: tuple[Any, ...]) -> str:
    """The violation that an audit event stands for; empty if none."""
    if event in CHILDREN:
        return f"a process: {event}"
    if event == "socket.bind" and isinstance(args[1], str | bytes):
        return f"a Unix socket: {args[1]!r}"
    if event == "socket.__new__" and args[1] not in (socket.AF_INET, socket.AF_UNIX, -1):
        # Unnamed pairs of Unix sockets are allowed: the event loop wakes itself with one.
        return f"a socket of family {args[1]}"
    if event in CHANGES and not os.path.realpath(str(args[0])).startswith(TEMPORARY):
        return f"a change: {event} {args[0]}"
    if event == "open" and isinstance(args[0], str | bytes) and (args[2] or 0) & WRITES:
        path = os.path.realpath(os.fsdecode(args[0]))
        if "__pycache__" in path:
            # Python ignores that it can't write its compiled modules.
            raise PermissionError(30, "read-only")
        if not path.startswith((TEMPORARY, "/dev/null")):
            return f"a file: {path}"
    return ""


def audit_hook(event: str, args: tuple[Any, ...]) -> None:
    if violation := violation_of(event, args):
        os.write(2, f"BREACH {violation}\n".encode())
        raise PermissionError(30, "refused by the test")


def commit_breach(name: str) -> None:
    """Commit a violation, from a thread of the node shortly after its start."""
    if name == "child":
        os.fork()
    elif name == "unix":
        socket.socket(socket.AF_UNIX).bind(os.path.join(TEMPORARY, "s"))
    elif name == "file":
        open(os.path.join(os.path.dirname(__file__), "left-behind"), "w")
    elif name == "ipv6":
        socket.socket(socket.AF_INET6)


if __name__ == "__main__":
    sys.addaudithook(audit_hook)
    if sys.argv[1]:
        threading.Timer(0.05, commit_breach, (sys.argv[1],)).start()
    sys.argv = ["corkshift"]
    sys.path.insert(0, os.getcwd())
    runpy.run_module("corkshift", run_name="__main__", alter_sys=True)
