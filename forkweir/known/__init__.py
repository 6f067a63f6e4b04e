"""What a node knows of cache servers: health, outcomes, membership, zones and speeds.

The modules of this package are pure: no I/O and no clock.
"""
