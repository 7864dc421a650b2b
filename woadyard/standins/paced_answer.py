"""Answers that a stand-in endpoint writes in parts, with pauses between them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from itertools import pairwise

# Sizes of ordinary and of long answers.
SHORT_BYTES, LONG_BYTES = (200, 2_000), (66_000, 220_000)
# Long answers come at this pace, on average.
PACE_BYTES_PER_S = (64_000, 110_000)
SMALL_PART_BYTES = 8_000
MAX_PAUSE_S = 1.8
LUMPS = (2, 4)


class Framing(StrEnum):
    """How the end of an answer's body is told."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # by the end of the connection


@dataclass(frozen=True, slots=True)
class PacedAnswer:
    """The parts of an answer's body in bytes, and the pause in seconds before each but the first.

    The first part is written with the head and may be empty. One that does not end halts after its parts.
    """

    framing: Framing
    parts: tuple[int, ...]
    pauses_s: tuple[float, ...]
    ends: bool = True

    @property
    def size(self) -> int:
        return sum(self.parts)

    @property
    def duration_s(self) -> float:
        return sum(self.pauses_s)

    @classmethod
    def short(cls, rng: random.Random, ends: bool = True) -> PacedAnswer:
        """Draw an ordinary answer, which is written at once; one that does not end lacks its last bytes."""
        return cls(rng.choice(list(Framing)), (rng.randint(*SHORT_BYTES),), (), ends)

    @classmethod
    def steady(cls, rng: random.Random) -> PacedAnswer:
        """Draw a long answer that is written in small parts."""
        count = rng.randint(*LONG_BYTES) // SMALL_PART_BYTES + 1
        pause_s = SMALL_PART_BYTES / rng.uniform(*PACE_BYTES_PER_S)
        return cls(rng.choice(list(Framing)), (SMALL_PART_BYTES,) * count, (pause_s,) * (count - 1))

    @classmethod
    def lumps(cls, rng: random.Random) -> PacedAnswer:
        """Draw a long answer that is written in a few parts of any size, the first of which may be empty."""
        size, count = rng.randint(*LONG_BYTES), rng.randint(*LUMPS)
        cuts = sorted(rng.choice((0, rng.randint(1, 2_000), rng.randint(1, size))) for _ in range(count - 1))
        bounds = [0, *cuts, size]
        parts = tuple(end - start for start, end in pairwise(bounds))
        longest_s = min(MAX_PAUSE_S, size / PACE_BYTES_PER_S[0] / (count - 1))
        return cls(
            rng.choice(list(Framing)), parts, tuple(rng.uniform(0.0, longest_s) for _ in range(count - 1))
        )

    def head(self) -> bytes:
        """Return the head of the answer."""
        lines = {
            Framing.LENGTH: b"Content-Length: %d\r\n" % (self.size if self.ends else self.size + 1),
            Framing.CHUNKED: b"Transfer-Encoding: chunked\r\n",
            Framing.CLOSE: b"",
        }
        return b"HTTP/1.1 200 OK\r\n%b\r\n" % lines[self.framing]

    def encode_part(self, data: bytes) -> bytes:
        """Return a part of the body as it is written."""
        if self.framing is not Framing.CHUNKED or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    async def write(
        self,
        writer: asyncio.StreamWriter,
        body: bytes,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Write the answer, with `pause` before each part but the first, for so many seconds or more.

        The caller closes the connection where that ends the answer.
        """
        start = 0
        for number, size in enumerate(self.parts):
            if number:
                await pause(self.pauses_s[number - 1])
            part = self.encode_part(body[start : start + size])
            writer.write(part if number else self.head() + part)
            await writer.drain()
            start += size
        if self.ends and self.framing is Framing.CHUNKED:
            if len(self.parts) > 1:
                await pause(0.0)
            writer.write(b"0\r\n\r\n")
