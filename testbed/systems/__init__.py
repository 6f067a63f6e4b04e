"""The emulated systems: cache boxes, the order book, discovery and clients, on real sockets or on virtual ones."""
