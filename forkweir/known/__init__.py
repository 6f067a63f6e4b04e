"""What is known of servers: health, doubts, outcomes, hearsay, speeds, zones, membership. Pure, no I/O, no clock."""
