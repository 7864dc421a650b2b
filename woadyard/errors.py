"""The errors of this program, one small tree: each says what happened and what an operator can do.

`str(error)` is what happened, one line; `remedy` is what to do about it, one line, told in the
log beside the error and in the answer of the door or of a service. A class has a remedy for its
kind; whoever raises one may give a better one.
"""

from __future__ import annotations


class WoadyardError(Exception):
    """Base of all; `what` is one line without a full stop."""

    remedy = "report it with the log lines before it"

    def __init__(self, what: str, remedy: str | None = None) -> None:
        super().__init__(what)
        if remedy is not None:
            self.remedy = remedy

    def fields(self) -> dict[str, str]:
        """For a structured log line's `extra`, or a service's JSON answer."""
        return {"error": str(self), "remedy": self.remedy}


class ConfigError(WoadyardError):
    """Settings that can't be used; nothing of them is."""

    remedy = "mend the configuration file; `python -m woadyard check-config FILE` says what is wrong"


class PeerError(WoadyardError):
    """What a peer sent is not what the protocol has, or a call to it failed."""

    remedy = "see whether the peer runs the same version and can be reached"


class LogEntryError(WoadyardError):
    """A record that a book of the log can't apply; nothing of it was."""

    remedy = "send a record that the book's page names; the log is as it was"


class StateError(WoadyardError):
    """Files of kept state that can't be read or written."""

    remedy = "see to the folder's space and rights; a file that is damaged may be moved away"


class PlanError(WoadyardError):
    """A plan, an experiment or a release that breaks its own rules."""

    remedy = "draw the plan anew within the rules that the message names"


class TraceError(WoadyardError):
    """A recorded trace that can't be read or does not fit its question."""

    remedy = "record anew, or leave the damaged part out"
