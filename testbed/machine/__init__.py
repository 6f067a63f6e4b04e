"""The virtual machine: a loop on virtual time, a network, and processes on it."""
