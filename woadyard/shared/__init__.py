"""State shared between sidecars: verdicts on endpoints, leases of limits, affinity. No I/O, no clock."""
