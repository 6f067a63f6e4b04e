"""Many nodes together: the protocol alone over a drawn network (`model`), and real processes with faults between them (`processes`)."""
