"""Clients of a sidecar, and the settings of a small deployment after `huurtoets-prod`."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import socket
from dataclasses import dataclass, field
from typing import Any

from world import HOST, Record, now_s, read_body, read_head

UNSAFE, KEYED = "quick-check", "full-report"
DEADLINE_MS = {UNSAFE: 2000, KEYED: 6000}


def settings(instances: int = 1, **changes: Any) -> dict[str, Any]:
    """The settings of a front sidecar, as WIRE shows them, with the figures of the site file."""
    return {
        "accounts": [],
        "ceilings": {
            "cancel": True,
            "conn-idle-us": 60_000_000,
            "connect-timeout-us": 250_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 15_000,
            "max-attempts": 4,
            "max-retry-after-us": 2_000_000,
            "max-streams": 100,
            "may-tell": False,
            "most-held": 20_000,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
        },
        "classes": [
            {
                "aim-us": 800_000,
                "deadline-us": 2_000_000,
                "dedup-scope": "all",
                "late-worth": 0.0,
                "name": UNSAFE,
                "points": 5.0,
                "repeat": "fragile",
                "repeat-window-us": 5_000_000,
                "stream": False,
            },
            {
                "aim-us": 2_500_000,
                "deadline-us": 6_000_000,
                "dedup-scope": "cell",
                "late-worth": 0.0,
                "name": KEYED,
                "points": 3.0,
                "repeat": "dedup",
                "repeat-window-us": 10_000_000,
                "stream": False,
            },
        ],
        "clients": {"marks-retry": True},
        "discovery": "ask",
        "family-info": {"passes-deadline": True},
        "goal": {"whole": 0.75, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.05},
        "instances": instances,
        "invariants": {
            "answer-slack-us": 20_000,
            "ask-within-us": 10_000_000,
            "cold-share": 0.32,
            "cold-us": 8_900_000,
            "drain-grace-us": 250_000,
            "overload-for-us": 1_500_000,
            "tip-multiple": 3.0,
        },
        "kind-of-service": "chain",
        "kinds": ["intake-fast", "intake-std", "intake-slow"],
        "layers": ["intake", "scoring"],
        "load-report": {"fields": ["waiting", "rps"], "how": "pull"},
        "locality": 0,
        "me": 0,
        "over-share-worth": 0.1,
        "prices": {"connection": 0.04, "cross-zone": 0.01, "handshake": 0.04, "probe": 0.01, "waste": 0.049},
        "resolution-us": 5000,
        "stage": 0,
        "weight-kind": "silent",
        "worth-by": "request",
        "zones": ["ams", "fra", "par"],
        **changes,
    }


def config(name: str, port: int, discovery: str, known: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """A configuration in the form of DEPLOY."""
    return {
        "name": name,
        "listen": f"{HOST}:{port}",
        "discovery": discovery,
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
        "known": known,
        "settings": settings(),
        **changes,
    }


@dataclass
class Sent:
    """A client's request and what came back: status 0 where no whole answer came."""

    id: str
    cls: str
    sent_s: float
    status: int = 0
    body: bytes = b""
    ended_s: float = 0.0


@dataclass
class Clients:
    """Clients that keep their connections and open more when every one is busy."""

    record: Record
    port: int
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def encode(self, cls: str, request_id: str, body: bytes, deadline_ms: int) -> bytes:
        """Encode a request; a keyed one carries a body and a key, both of its own."""
        lines = [
            f"POST /{cls} HTTP/1.1",
            "Host: backend.local",
            f"X-Request-Id: {request_id}",
            f"X-Class: {cls}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
        ]
        if cls == KEYED:
            lines.append(f"Idempotency-Key: {secrets.token_hex(16)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def request(self, cls: str, body: bytes = b"", deadline_ms: int = 0) -> Sent:
        """Send one request and wait for its answer until its deadline; then the client goes away."""
        deadline_ms = deadline_ms or DEADLINE_MS[cls]
        sent = Sent(secrets.token_hex(8), cls, now_s())
        self.sent.append(sent)
        raw = self.encode(cls, sent.id, body, deadline_ms)
        self.record("sent", id=sent.id, cls=cls)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(deadline_ms / 1000 + 0.55):
                await self._exchange(sent, raw)
        sent.ended_s = now_s()
        self.record("answered", id=sent.id, status=sent.status, body=sent.body[:60])
        return sent

    async def _exchange(self, sent: Sent, raw: bytes) -> None:
        is_reused = bool(self.idle)
        while True:
            if is_reused and self.idle:
                reader, writer = self.idle.pop()
            else:
                is_reused = False
                reader, writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
                writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            kept = False
            try:
                try:
                    writer.write(raw)
                    head = await read_head(reader)
                except OSError:
                    head = None
                if head is None and is_reused:
                    is_reused = False  # the close crossed the request: once more, on a new connection
                    continue
                if head is None:
                    return
                _, line, headers = head
                sent.body = await read_body(reader, headers, to_end=True)
                sent.status = int(line.split(" ")[1])
                kept = headers.get("connection", "").lower() != "close"
                return
            finally:
                if kept:
                    self.idle.append((reader, writer))
                else:
                    writer.transport.abort()

    def begin(self, cls: str, **options: Any) -> None:
        """Send a request and do not wait for it."""
        task = asyncio.ensure_future(self.request(cls, **options))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def load(self, rate: float, seconds: float) -> None:
        """Send `rate` requests a second, 78% of them `quick-check`, for so many seconds."""
        end_s, count = now_s() + seconds, 0
        while now_s() < end_s:
            self.begin(KEYED if count % 9 in (3, 7) else UNSAFE)
            count += 1
            await asyncio.sleep(1.0 / rate)

    async def finish(self) -> None:
        """Wait for all answers that are out, and close the connections."""
        if self.tasks:
            await asyncio.gather(*self.tasks)
        while self.idle:
            self.idle.pop()[1].close()
