"""The metrics of the list service, for `GET /_metrics`."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class RegistryMetrics:
    """The Prometheus metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        self.collector_registry = registry = CollectorRegistry()
        self.watches = Gauge("registry_watches", "Open watches and long polls", registry=registry)
        self.clients = Gauge("registry_clients", "Open connections", registry=registry)
        self.version = Gauge("registry_version", "Version of the list", registry=registry)
        self.term = Gauge("registry_term", "Term of the log", registry=registry)
        self.applied = Gauge("registry_applied", "Log entries applied", registry=registry)
        self.reads = Counter("registry_reads", "Reads, by kind", ["kind"], registry=registry)
        self.writes = Counter("registry_writes", "Writes, by result", ["result"], registry=registry)
        self.holders = Gauge("registry_holders", "Active holders of shares of limits", registry=registry)
        self.stale = Gauge("registry_stale", "1 while without contact to the leader", registry=registry)
        self.deposed = Gauge("registry_deposed", "1 while another process is the leader", registry=registry)
