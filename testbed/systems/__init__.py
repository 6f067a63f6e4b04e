"""Emulated systems: cache boxes, the order book, discovery, clients and DNS.

They run on real sockets and on virtual ones.
"""
