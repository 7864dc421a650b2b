"""The exceptions of this program, all derived from `WoadyardError`.

`str(error)` says in one line what happened; `remedy` says in one line what an operator can do
about it. Both are logged, and both are sent in the error responses of the admin listener and of
the services. A class has a default remedy; the code that raises an error may give a better one.
"""

from __future__ import annotations

# Exit status of a process whose configuration is invalid.
EXIT_CONFIG_ERROR = 2


class WoadyardError(Exception):
    """Base class of all errors; `message` is one line without a full stop."""

    remedy = "report it with the log lines before it"

    def __init__(self, message: str, remedy: str | None = None) -> None:
        super().__init__(message)
        if remedy is not None:
            self.remedy = remedy

    def fields(self) -> dict[str, str]:
        """Return the `extra` fields of a log line, or the body of a service's JSON response."""
        return {"error": str(self), "remedy": self.remedy}


class ConfigError(WoadyardError):
    """A configuration is invalid; none of its settings is applied."""

    remedy = "correct the configuration file; `python -m woadyard check-config FILE` lists its errors"


class PeerError(WoadyardError):
    """A peer sent a message that violates the protocol, or a call to it failed."""

    remedy = "check that the peer runs the same version and can be reached"


class LogEntryError(WoadyardError):
    """A log entry can't be applied by its state machine; the state is unchanged."""

    remedy = "send an entry that the state machine's documentation lists; the log is unchanged"


class StateError(WoadyardError):
    """Files of persisted state can't be read or written."""

    remedy = "check the directory's free space and permissions; a damaged file may be moved away"


class PlanError(WoadyardError):
    """A plan, an experiment or a release violates its own rules."""

    remedy = "create the plan again within the limits that the message names"


class TraceError(WoadyardError):
    """A recorded trace can't be read, or can't be used for the requested analysis."""

    remedy = "record the trace again, or remove its damaged part"
