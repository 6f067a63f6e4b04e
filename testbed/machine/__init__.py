"""Virtual machine: an event loop on virtual time, a network, and the processes that run on it."""
