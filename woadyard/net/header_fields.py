"""The header fields of one message: which are read here, which are forwarded, and how its body is framed."""

from __future__ import annotations

from woadyard.errors import PeerError

# Headers that concern a single connection, or that each side sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"expect", b"content-length", b"x-deadline-ms", b"proxy-authenticate", b"proxy-authorization")
)  # fmt: skip
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class FramingError(PeerError):
    """The headers leave open where the body ends."""


class HeaderFields:
    """The fields of one head, serialized as they arrive.

    As objects of their own, many short fields would take some thirty times their size. Only the
    values of the fields in `read_names` are kept as such; names there are in lower case.
    """

    __slots__ = ("connection_options", "duplicated", "lines", "read_names", "values")

    def __init__(self, read_names: frozenset[bytes] = FRAMING_HEADERS) -> None:
        self.read_names = read_names
        self.values: dict[bytes, bytes] = {}
        self.duplicated: set[bytes] = set()  # among `read_names`
        self.lines = bytearray()  # to forward, unless Connection names them
        self.connection_options = bytearray()

    def add(self, name: bytes, value: bytes) -> None:
        """Add a field; whitespace around its value is no part of it."""
        value, lower_name = value.strip(b" \t"), name.lower()
        if lower_name in self.read_names:
            if lower_name in self.values:
                self.duplicated.add(lower_name)
            self.values[lower_name] = value
        if lower_name == b"connection":
            self.connection_options += b"," + value
        elif lower_name not in HOP_BY_HOP_HEADERS:
            self.lines += b"%b: %b\r\n" % (name, value)

    def get(self, lower_name: bytes, default: bytes = b"") -> bytes:
        """Return the last value of a field in `read_names`."""
        return self.values.get(lower_name, default)

    @property
    def size(self) -> int:
        """The bytes that the fields take, about."""
        return len(self.lines) + len(self.connection_options)

    def framing(self) -> tuple[int | None, bool]:
        """Return the Content-Length, if any, and whether the body is chunked.

        The parser has already rejected lengths that are duplicated, malformed, or
        combined with a transfer coding. Raises FramingError on codings other than chunked.
        """
        length, coding = self.values.get(b"content-length"), self.values.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or b"transfer-encoding" in self.duplicated):
            raise FramingError("Transfer-Encoding: only a single 'chunked' coding is supported")
        return None if length is None else int(length), coding is not None

    def end_to_end_lines(self) -> bytes:
        """Return the fields to forward: all but the hop-by-hop ones and those that Connection names."""
        if not self.connection_options:
            return bytes(self.lines)
        options = {token.strip().lower() for token in bytes(self.connection_options).split(b",")}
        if options <= HOP_BY_HOP_HEADERS | {b"", b"close"}:
            return bytes(self.lines)
        lines = bytes(self.lines).splitlines(keepends=True)
        return b"".join(line for line in lines if line.partition(b":")[0].lower() not in options)
