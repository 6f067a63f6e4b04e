"""Two processes of one node, during an upgrade: each tells the other what it was notified of.

By the platform's rules they are one node: a drain that discovery told either of them binds both, an
operator drains the node and not a process, and its limits hold for both together. They share the
listening socket and `$TMPDIR`, and nothing else that either could use. So each process appends
messages to a journal of its own in `$TMPDIR`, and reads the journals of the others.

Invariant: what a process was notified of while another one of its node runs is in its journal
before it is used. A journal whose owner has ended is read to its end and removed.

`messages` is the format (sans-I/O), `peers` reads and writes, `corkshift.seam.locked_files`
accesses the file system. Nothing of this is imported unless the listening socket is inherited.
"""

from corkshift.handover.observer import NodeObserver
from corkshift.handover.peers import Peers

__all__ = ["NodeObserver", "Peers"]
