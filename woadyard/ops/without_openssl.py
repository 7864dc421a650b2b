"""Keeps OpenSSL out of a process that speaks plain HTTP only.

The event loops import `ssl`, and `hashlib` loads OpenSSL's digests; together they take some 5 MB of
the 32 MB that a sidecar may have. asyncio and hashlib also work without them, as in a Python that
was built without OpenSSL. uvloop needs the names below when it is imported.
"""

from __future__ import annotations

import sys
import types

NAMES_OF_CLASSES = ("MemoryBIO", "SSLContext")
NAMES_OF_ERRORS = (
    "CertificateError", "SSLError", "SSLSyscallError", "SSLWantReadError", "SSLZeroReturnError",
)  # fmt: skip
ERROR_CODES = {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}


def create_default_context(*args: object, **options: object) -> None:
    """Raise RuntimeError: this process has no TLS."""
    raise RuntimeError("this process runs without TLS")


def exclude_openssl() -> None:
    """Have later imports of `ssl` and `hashlib` in this process do without OpenSSL.

    To be called before the first of them; modules that were loaded before stay as they are.
    """
    if "ssl" in sys.modules or "_hashlib" in sys.modules:
        return
    placeholder = types.ModuleType("ssl", "A placeholder: this process runs without TLS.")
    for name in NAMES_OF_CLASSES:
        setattr(placeholder, name, type(name, (), {}))
    for name in NAMES_OF_ERRORS:
        setattr(placeholder, name, type(name, (OSError,), {}))
    for name, code in ERROR_CODES.items():
        setattr(placeholder, name, code)
    placeholder.create_default_context = create_default_context  # type: ignore[attr-defined]
    sys.modules["ssl"] = placeholder
    sys.modules["_hashlib"] = None  # type: ignore[assignment]  # an import of it fails
