"""The configuration: read at the start, and again whole at each SIGHUP."""

from __future__ import annotations

import json
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from woadyard.errors import WoadyardError
from woadyard.interface import Locality, Settings
from woadyard.shared.settings import SharedSettings, read_shared
from woadyard.wire import WireError, read_settings

if TYPE_CHECKING:
    from woadyard.audit import AuditSettings
    from woadyard.net.recorder import RecordSettings

SOCKETS_DEFAULT = 1024
LOG_LEVELS = ("debug", "info", "warning", "error")
# What each class must say in a file read again, and a keyed one besides.
CLASS_KEYS = ("name", "repeat", "aim-us", "deadline-us")
KEYED_KEYS = ("dedup-scope", "repeat-window-us")
# May be missing from a file read again: lists come from discovery by then.
START_ONLY = frozenset(("known",))


class ConfigError(Exception):
    """The configuration can't be used; the text says why, on one line."""


FAULTS = (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError, WireError)


@dataclass(frozen=True)
class Config:
    path: str
    raw: dict[str, Any]
    listen: tuple[str, int]
    accept: int | None  # a listening socket that the platform holds
    console: tuple[str, int] | None
    discovery: str
    seed: int
    sockets: int
    settings: Settings
    known: dict[str, Any] | None
    state: Path | None  # what outlives this process; nothing where none is kept
    log_level: str = "info"
    locality: Locality | None = None
    shared: SharedSettings | None = None
    record: RecordSettings | None = None
    audit: AuditSettings | None = None
    shrink_most: float = 1.0  # share of the list that may be lost at once and be believed


def address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"no address: {text!r}")
    return host, int(port)


def addresses(text: Any) -> tuple[str, ...]:
    """Of discovery: one address, or several replicas' with commas between."""
    found = tuple(part.strip() for part in str(text).split(","))
    for one in found:
        address(one)
    return found


def state_path(environ: dict[str, str], raw: dict[str, Any]) -> Path | None:
    """One file for each sidecar, should several share the folder."""
    folder, name = environ.get("TMPDIR"), str(environ.get("LB_NAME") or raw.get("name", ""))
    return Path(folder) / f"woadyard-{quote(name, safe='')}.json" if folder else None


def read_config(environ: dict[str, str]) -> Config:
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        raw = read_file(path)
        known = raw.get("known")
        if known is not None and not (isinstance(known["instances"], list) and int(known["generation"]) >= 0):
            raise ConfigError("known is no list of endpoints")
        discovery = str(environ.get("LB_DISCOVERY") or raw["discovery"])
        addresses(discovery)
        accept = environ.get("LB_ACCEPT_FD")
        for part in ("shared", "audit"):
            if raw.get(part) and not (environ.get("LB_NAME") or raw.get("name")):
                raise ValueError(f"{part} needs a name of this sidecar's own")
        found = shared(raw)
        longest_us = max(float(entry["deadline-us"]) for entry in raw["settings"]["classes"])
        if found is not None and found.limit and found.lease_s * 1e6 <= longest_us:
            # A share's last requests end before it is another's.
            raise ValueError("shared.limit-lease-ms is no longer than the longest deadline")
        console = environ.get("LB_CONSOLE") or raw.get("console")
        return Config(
            path=path,
            raw=raw,
            listen=address(environ.get("LB_LISTEN") or raw["listen"]),
            accept=int(accept) if accept else None,
            console=address(console) if console else None,
            discovery=discovery,
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int(raw.get("limits", {}).get("sockets", SOCKETS_DEFAULT)),
            settings=read_settings(json.dumps(raw["settings"]).encode()),
            known=known,
            state=state_path(environ, raw) if console else None,
            log_level=log_level(raw),
            locality=locality(raw),
            shared=found,
            audit=audit(raw),
            record=record(raw, bool(console)),
            shrink_most=shrink_most(raw),
        )
    except FAULTS as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def log_level(raw: dict[str, Any]) -> str:
    """The lowest level of the lines logged; `info` where the file says none."""
    level = raw.get("log-level", "info")
    if level not in LOG_LEVELS:
        raise ValueError(f"log-level is none of {', '.join(LOG_LEVELS)}: {level!r}")
    return str(level)


LOCALITY_KEYS = {"leave": "leave", "panic": "panic", "window-ms": "window_us", "away-ms": "away_us",
                 "ramp-ms": "ramp_us"}  # fmt: skip


def locality(raw: dict[str, Any]) -> Locality | None:
    """How zones are chosen, from the file's `locality`; None where it says nothing.
    `regions` names each zone's, by the names in `settings.zones`."""
    told = raw.get("locality")
    if told is None:
        return None
    zones, regions = raw["settings"].get("zones", []), told.get("regions", {})
    if unknown := sorted(told.keys() - LOCALITY_KEYS.keys() - {"regions"}):
        raise ValueError(f"locality.{unknown[0]} is not known")
    if unknown := sorted(regions.keys() - set(zones)):
        raise ValueError(f"locality.regions has no zone {unknown[0]!r}")
    names = sorted({str(name) for name in regions.values()})
    # A zone without a region is a region of its own.
    numbers = tuple(
        names.index(str(regions[zone])) if zone in regions else len(names) + n for n, zone in enumerate(zones)
    )
    values: dict[str, Any] = {}
    for key, name in LOCALITY_KEYS.items():
        if key in told:
            _number(told, key)
            values[name] = int(told[key] * 1000) if key.endswith("-ms") else float(told[key])
    return Locality(numbers, **values)


def _number(of: dict[str, Any], key: str) -> None:
    if isinstance(of[key], bool) or not isinstance(of[key], (int, float)) or not 0 <= of[key] < inf:
        raise ValueError(f"locality.{key} is no number: {of[key]!r}")


def shared(raw: dict[str, Any]) -> SharedSettings | None:
    """What is shared with other sidecars, and where; None where the file says nothing."""
    found = read_shared(raw.get("shared"))
    if found is not None:
        for one in (found.listen, found.advertise or found.listen):
            address(one)
        addresses(found.peers)
    return found


def record(raw: dict[str, Any], door: bool) -> RecordSettings | None:
    """What is recorded for what-if replays; None where the file says nothing."""
    if raw.get("record") is None:
        return None
    if not door:
        raise ConfigError("record needs a console: recordings are fetched at the door")
    from woadyard.net.recorder import read_record  # a sidecar that records nothing loads nothing of it

    try:
        return read_record(raw["record"])
    except WoadyardError as error:
        raise ConfigError(str(error)) from None


def audit(raw: dict[str, Any]) -> AuditSettings | None:
    """Where what this sidecar acts on is reported; None where the file says nothing."""
    if raw.get("audit") is None:
        return None
    from woadyard.audit.messages import read_settings as read_audit  # loaded only where it is on

    found = read_audit(raw["audit"])
    addresses(found.service)
    return found


def shrink_most(raw: dict[str, Any]) -> float:
    """The share of the endpoints, above 0 and up to 1, that lists may lose at once
    before they are held back; 1 (nothing is held) where the file says none."""
    share = raw.get("list-shrink-most", 1.0)
    if isinstance(share, bool) or not isinstance(share, (int, float)) or not 0 < share <= 1:
        raise ValueError(f"list-shrink-most is no share above 0 and up to 1: {share!r}")
    return float(share)


def read_file(path: str) -> dict[str, Any]:
    with open(path, "rb") as file:
        raw = json.load(file)
    if not isinstance(raw, dict):
        raise ValueError("the file is no object")
    return raw


def read_again(path: str, force: dict[str, Any]) -> tuple[dict[str, Any], Settings]:
    """The file as it is now, checked whole before any of it is used. It has to
    say all that the one in force says: a default in place of a key that was
    lost would loosen a rule without a word. What the environment said at the
    start of discovery's address is the older word."""
    try:
        raw = read_file(path)
        _has_all(raw, force, "", START_ONLY)
        addresses(raw["discovery"])
        log_level(raw)
        shrink_most(raw)
        shared(raw)
        audit(raw)
        locality(raw)
        settings = raw["settings"]
        _has_all(settings, force["settings"], "settings.")
        for part in ("ceilings", "invariants"):
            _has_all(settings.get(part, {}), force["settings"].get(part, {}), f"settings.{part}.")
        if "max-attempts" in settings.get("ceilings", {}):
            _above_zero(settings["ceilings"], "max-attempts")
        for entry in settings["classes"]:
            _check_class(entry)
        if len({entry["name"] for entry in settings["classes"]}) < len(settings["classes"]):
            raise ValueError("a class is there twice")
        return raw, read_settings(json.dumps(settings).encode())
    except FAULTS as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def _has_all(new: dict[str, Any], old: dict[str, Any], where: str, but: frozenset[str] = frozenset()) -> None:
    if not isinstance(new, dict):
        raise ValueError(f"{where or 'the file'} is no object")
    if lost := sorted(old.keys() - new.keys() - but):
        raise ValueError(f"{where}{lost[0]} is missing")


def _check_class(entry: dict[str, Any]) -> None:
    for key in CLASS_KEYS + (KEYED_KEYS if entry["repeat"] == "dedup" else ()):
        if key not in entry:
            raise ValueError(f"a class lacks {key}")
    if not isinstance(entry["name"], str) or not entry["name"]:
        raise ValueError("a class has no name")
    _above_zero(entry, "aim-us")
    _above_zero(entry, "deadline-us")


def _above_zero(of: dict[str, Any], key: str) -> None:
    value = of[key]
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < inf:
        raise ValueError(f"{key} is no number above 0: {value!r}")
