"""Reserved ports: nobody takes them by chance, and the process they are meant for can listen."""

from __future__ import annotations

import socket

import pytest

from corkshift import seam
from testbed.systems.ports import HOST, reserve_port


def test_a_reserved_port_is_bound_by_those_alone_who_reuse_addresses() -> None:
    # Guards against nodes that can't listen, as another process was given their port meanwhile.
    port = reserve_port()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind((HOST, port))
    listener = seam.bind_listener((HOST, port), 65_536)
    listener.listen()
    with socket.create_connection((HOST, port)):
        pass
    listener.close()


def test_reserved_ports_differ() -> None:
    assert len({reserve_port() for _ in range(20)}) == 20
