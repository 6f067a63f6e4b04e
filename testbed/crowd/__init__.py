"""Crowds of demanding clients and slow answers before one real node with small limits.

`process` starts the node, `servers` are its cache servers, `clients` the kinds of demanding
clients, and `run` plays a crowd beside ordinary reads and reports what was seen.
`python -m testbed.crowd` is the command line. Everything uses loopback addresses and ends by
itself.
"""
