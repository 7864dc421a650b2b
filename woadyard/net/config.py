"""The configuration: read at the start, and again whole at each SIGHUP."""

from __future__ import annotations

import json
from dataclasses import dataclass
from math import inf
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any
from urllib.parse import quote

import msgspec

from woadyard.errors import ConfigError, WoadyardError
from woadyard.interface import Locality, Settings
from woadyard.sections import read_section
from woadyard.shared.settings import SharedSettings, read_shared
from woadyard.wire import WireError, read_settings

if TYPE_CHECKING:
    from woadyard.audit import AuditSettings
    from woadyard.net.recorder import RecordSettings

DEFAULT_SOCKETS = 1024
LOG_LEVELS = ("debug", "info", "warning", "error")
# What each class must say in a file read again, and a keyed one besides.
CLASS_KEYS = ("name", "repeat", "aim-us", "deadline-us")
KEYED_CLASS_KEYS = ("dedup-scope", "repeat-window-us")
# May be missing from a file read again: lists come from discovery by then.
START_ONLY_KEYS = frozenset(("known",))


READ_ERRORS = (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError, WireError)
NonNegative = Annotated[float, msgspec.Meta(ge=0.0)]


class LocalitySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The file's `locality`; `regions` names each zone's, by the names in `settings.zones`."""

    regions: dict[str, str] = {}
    leave: NonNegative | None = None
    panic: NonNegative | None = None
    window_ms: NonNegative | None = None
    away_ms: NonNegative | None = None
    ramp_ms: NonNegative | None = None

    def to_locality(self, regions: tuple[int, ...]) -> Locality:
        """With the regions' numbers, and the module's defaults for what is not said."""
        times = {"window_us": self.window_ms, "away_us": self.away_ms, "ramp_us": self.ramp_ms}
        values: dict[str, Any] = {key: int(ms * 1000) for key, ms in times.items() if ms is not None}
        shares = {"leave": self.leave, "panic": self.panic}
        values.update({key: share for key, share in shares.items() if share is not None})
        return Locality(regions, **values)


@dataclass(frozen=True)
class Config:
    path: str
    raw: dict[str, Any]
    listen: tuple[str, int]
    accept_fd: int | None  # a listening socket that the platform holds
    console: tuple[str, int] | None
    discovery: str
    seed: int
    max_sockets: int
    settings: Settings
    known_list: dict[str, Any] | None
    state_file: Path | None  # what outlives this process; nothing where none is kept
    log_level: str = "info"
    locality: Locality | None = None
    shared: SharedSettings | None = None
    record: RecordSettings | None = None
    audit: AuditSettings | None = None
    max_list_shrink: float = 1.0  # share of the list that may be lost at once and be believed


def parse_address(text: Any) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"no address: {text!r}")
    return host, int(port)


def parse_addresses(text: Any) -> tuple[str, ...]:
    """Of discovery: one address, or several replicas' with commas between."""
    found = tuple(part.strip() for part in str(text).split(","))
    for one in found:
        parse_address(one)
    return found


def state_file_path(environ: dict[str, str], raw: dict[str, Any]) -> Path | None:
    """One file for each sidecar, should several share the folder."""
    folder, name = environ.get("TMPDIR"), str(environ.get("LB_NAME") or raw.get("name", ""))
    return Path(folder) / f"woadyard-{quote(name, safe='')}.json" if folder else None


def read_config(environ: dict[str, str]) -> Config:
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        raw = read_config_file(path)
        known = raw.get("known")
        if known is not None and not (isinstance(known["instances"], list) and int(known["generation"]) >= 0):
            raise ConfigError("known is no list of endpoints")
        discovery = str(environ.get("LB_DISCOVERY") or raw["discovery"])
        parse_addresses(discovery)
        accept = environ.get("LB_ACCEPT_FD")
        name = str(environ.get("LB_NAME") or raw.get("name") or "")
        _check_named(raw, name)
        found = read_shared_settings(raw)
        if found is not None:
            _check_shared(found, raw)
        console = environ.get("LB_CONSOLE") or raw.get("console")
        return Config(
            path=path,
            raw=raw,
            listen=parse_address(environ.get("LB_LISTEN") or raw["listen"]),
            accept_fd=int(accept) if accept else None,
            console=parse_address(console) if console else None,
            discovery=discovery,
            seed=int(str(raw.get("seed", "0")), 16),
            max_sockets=int(raw.get("limits", {}).get("sockets", DEFAULT_SOCKETS)),
            settings=read_settings(json.dumps(raw["settings"]).encode()),
            known_list=known,
            state_file=state_file_path(environ, raw) if console else None,
            log_level=read_log_level(raw),
            locality=read_locality(raw),
            shared=found,
            audit=read_audit_settings(raw),
            record=read_record_settings(raw, bool(console)),
            max_list_shrink=read_max_list_shrink(raw),
        )
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}", error.remedy) from None
    except READ_ERRORS as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def read_log_level(raw: dict[str, Any]) -> str:
    """The lowest level of the lines logged; `info` where the file says none."""
    level = raw.get("log-level", "info")
    if level not in LOG_LEVELS:
        raise ConfigError(f"log-level is none of {', '.join(LOG_LEVELS)}: {level!r}")
    return str(level)


def read_locality(raw: dict[str, Any]) -> Locality | None:
    """How zones are chosen, from the file's `locality`; None where it says nothing."""
    told = read_section(raw.get("locality"), LocalitySection, "locality")
    if told is None:
        return None
    zones = raw["settings"].get("zones", [])
    if unknown := sorted(told.regions.keys() - set(zones)):
        raise ConfigError(f"locality.regions has no zone {unknown[0]!r}")
    names = sorted(set(told.regions.values()))
    # A zone without a region is a region of its own.
    numbers = tuple(
        names.index(told.regions[zone]) if zone in told.regions else len(names) + n
        for n, zone in enumerate(zones)
    )
    return told.to_locality(numbers)


def read_shared_settings(raw: dict[str, Any]) -> SharedSettings | None:
    """What is shared with other sidecars, and where; None where the file says nothing."""
    found = read_shared(raw.get("shared"))
    if found is not None:
        for one in (found.listen, found.advertise or found.listen):
            parse_address(one)
        parse_addresses(found.peers)
    return found


def _check_named(raw: dict[str, Any], name: str) -> None:
    """Others tell a sidecar by its name."""
    for part in ("shared", "audit"):
        if raw.get(part) and not name:
            remedy = "set `name` in the file, or LB_NAME"
            raise ConfigError(f"{part} needs a name of this sidecar's own", remedy)


def _check_shared(found: SharedSettings, raw: dict[str, Any]) -> None:
    longest_us = max(float(entry["deadline-us"]) for entry in raw["settings"]["classes"])
    if found.limit and found.lease_s * 1e6 <= longest_us:
        # A share's last requests end before it is another's.
        raise ConfigError("shared.limit-lease-ms is no longer than the longest deadline")


def read_record_settings(raw: dict[str, Any], door: bool) -> RecordSettings | None:
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


def read_audit_settings(raw: dict[str, Any]) -> AuditSettings | None:
    """Where what this sidecar acts on is reported; None where the file says nothing."""
    if raw.get("audit") is None:
        return None
    from woadyard.audit.messages import read_settings as read_audit  # loaded only where it is on

    found = read_audit(raw["audit"])
    parse_addresses(found.service)
    return found


def read_max_list_shrink(raw: dict[str, Any]) -> float:
    """The share of the endpoints, above 0 and up to 1, that lists may lose at once
    before they are held back; 1 (nothing is held) where the file says none."""
    share = raw.get("list-shrink-most", 1.0)
    if isinstance(share, bool) or not isinstance(share, (int, float)) or not 0 < share <= 1:
        raise ConfigError(f"list-shrink-most is no share above 0 and up to 1: {share!r}")
    return float(share)


def read_config_file(path: str) -> dict[str, Any]:
    with open(path, "rb") as file:
        raw = json.load(file)
    if not isinstance(raw, dict):
        raise ConfigError("the file is no object")
    return raw


def reread_config(path: str, force: dict[str, Any]) -> tuple[dict[str, Any], Settings]:
    """The file as it is now, checked whole before any of it is used. It has to
    say all that the one in force says: a default in place of a key that was
    lost would loosen a rule without a word. What the environment said at the
    start of discovery's address is the older word."""
    try:
        raw = read_config_file(path)
        _has_all(raw, force, "", START_ONLY_KEYS)
        parse_addresses(raw["discovery"])
        read_log_level(raw)
        read_max_list_shrink(raw)
        read_shared_settings(raw)
        read_audit_settings(raw)
        read_locality(raw)
        settings = raw["settings"]
        _has_all(settings, force["settings"], "settings.")
        for part in ("ceilings", "invariants"):
            _has_all(settings.get(part, {}), force["settings"].get(part, {}), f"settings.{part}.")
        if "max-attempts" in settings.get("ceilings", {}):
            _above_zero(settings["ceilings"], "max-attempts")
        for entry in settings["classes"]:
            _check_class(entry)
        if len({entry["name"] for entry in settings["classes"]}) < len(settings["classes"]):
            raise ConfigError("a class is there twice")
        return raw, read_settings(json.dumps(settings).encode())
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}", error.remedy) from None
    except READ_ERRORS as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def _has_all(new: dict[str, Any], old: dict[str, Any], where: str, but: frozenset[str] = frozenset()) -> None:
    if not isinstance(new, dict):
        raise ConfigError(f"{where or 'the file'} is no object")
    if lost := sorted(old.keys() - new.keys() - but):
        raise ConfigError(f"{where}{lost[0]} is missing")


def _check_class(entry: dict[str, Any]) -> None:
    for key in CLASS_KEYS + (KEYED_CLASS_KEYS if entry["repeat"] == "dedup" else ()):
        if key not in entry:
            raise ConfigError(f"a class lacks {key}")
    if not isinstance(entry["name"], str) or not entry["name"]:
        raise ConfigError("a class has no name")
    _above_zero(entry, "aim-us")
    _above_zero(entry, "deadline-us")


def _above_zero(of: dict[str, Any], key: str) -> None:
    value = of[key]
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < inf:
        raise ConfigError(f"{key} is no number above 0: {value!r}")
