"""What the list service counts of itself, for `GET /_metrics`."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class RegistryMetrics:
    def __init__(self) -> None:
        self.collector_registry = registry = CollectorRegistry()
        self.watches = Gauge("registry_watches", "Watches and long polls open", registry=registry)
        self.clients = Gauge("registry_clients", "Connections open", registry=registry)
        self.version = Gauge("registry_version", "Version of the list", registry=registry)
        self.term = Gauge("registry_term", "Term of the log", registry=registry)
        self.applied = Gauge("registry_applied", "Records applied", registry=registry)
        self.reads = Counter("registry_reads", "Reads answered, by kind", ["kind"], registry=registry)
        self.writes = Counter("registry_writes", "Writes, by result", ["result"], registry=registry)
        self.holders = Gauge("registry_holders", "Holders of shares of limits", registry=registry)
        self.stale = Gauge("registry_stale", "1 while out of touch with the writer", registry=registry)
        self.deposed = Gauge("registry_deposed", "1 while another process has its place", registry=registry)
