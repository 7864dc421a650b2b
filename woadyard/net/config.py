"""Reads and checks the configuration, at the start and at each SIGHUP."""

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
from woadyard.net.memory_budget import MEGABYTE
from woadyard.sections import read_section
from woadyard.shared.settings import SharedSettings, read_shared
from woadyard.wire import WireError, read_settings

if TYPE_CHECKING:
    from woadyard.audit import AuditSettings
    from woadyard.net.recorder import RecordSettings

DEFAULT_SOCKETS = 1024
LOG_LEVELS = ("debug", "info", "warning", "error")
# Keys that each request class must have in a reloaded file, and those of a class with `dedup`.
CLASS_KEYS = ("name", "repeat", "aim-us", "deadline-us")
KEYED_CLASS_KEYS = ("dedup-scope", "repeat-window-us")
# Keys that a reloaded file may lack: by then, lists come from discovery.
START_ONLY_KEYS = frozenset(("known",))


# What reading an invalid file may raise; reported as ConfigError.
READ_ERRORS = (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError, WireError)
NonNegative = Annotated[float, msgspec.Meta(ge=0.0)]


class LocalitySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """The section `locality`; `regions` maps zones, as named in `settings.zones`, to their regions."""

    regions: dict[str, str] = {}
    leave: NonNegative | None = None
    panic: NonNegative | None = None
    window_ms: NonNegative | None = None
    away_ms: NonNegative | None = None
    ramp_ms: NonNegative | None = None

    def to_locality(self, regions: tuple[int, ...]) -> Locality:
        """Return the settings with region numbers in place of names; absent keys keep their defaults."""
        times_ms = {"window_us": self.window_ms, "away_us": self.away_ms, "ramp_us": self.ramp_ms}
        values: dict[str, Any] = {key: int(ms * 1000) for key, ms in times_ms.items() if ms is not None}
        shares = {"leave": self.leave, "panic": self.panic}
        values.update({key: share for key, share in shares.items() if share is not None})
        return Locality(regions, **values)


@dataclass(frozen=True)
class Config:
    """The checked configuration of a process, from its file and the environment."""

    path: str
    raw: dict[str, Any]
    listen: tuple[str, int]
    accept_fd: int | None  # descriptor of a listening socket that the platform owns
    console: tuple[str, int] | None  # address of the admin listener
    discovery: str
    seed: int
    max_sockets: int
    memory_limit_bytes: int | None  # of resident memory; None if the file names no limit
    settings: Settings
    known_list: dict[str, Any] | None
    state_file: Path | None  # state kept over restarts; None if none is kept
    log_level: str = "info"
    locality: Locality | None = None
    shared: SharedSettings | None = None
    record: RecordSettings | None = None
    audit: AuditSettings | None = None
    max_list_shrink: float = 1.0  # share of the list that may be lost at once and is still applied


def parse_address(text: Any) -> tuple[str, int]:
    """Parse `HOST:PORT`; ConfigError if it is none."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"an address must be HOST:PORT, got {text!r}")
    return host, int(port)


def parse_addresses(text: Any) -> tuple[str, ...]:
    """Split the comma-separated addresses of a service's replicas; ConfigError if one is invalid."""
    addresses = tuple(part.strip() for part in str(text).split(","))
    for address in addresses:
        parse_address(address)
    return addresses


def read_memory_limit(raw: dict[str, Any]) -> int | None:
    """Return the memory limit in bytes, or None without one; ConfigError if it is no positive number."""
    limit_mb = raw.get("limits", {}).get("memory_mb")
    if limit_mb is None:
        return None
    if not isinstance(limit_mb, int | float) or not 0 < limit_mb < inf:
        raise ConfigError(f"limits.memory_mb must be a number above 0, got {limit_mb!r}")
    return int(limit_mb * MEGABYTE)


def state_file_path(environ: dict[str, str], raw: dict[str, Any]) -> Path | None:
    """Return the path of the state file, named after the sidecar, as several may share the directory."""
    directory, name = environ.get("TMPDIR"), str(environ.get("LB_NAME") or raw.get("name", ""))
    return Path(directory) / f"woadyard-{quote(name, safe='')}.json" if directory else None


def read_config(environ: dict[str, str]) -> Config:
    """Read and check the configuration that `environ` names; ConfigError if any of it is invalid."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        raw = read_config_file(path)
        known_list = raw.get("known")
        if known_list is not None and not (
            isinstance(known_list["instances"], list) and int(known_list["generation"]) >= 0
        ):
            raise ConfigError("known must have a list `instances` and a `generation` not below 0")
        discovery = str(environ.get("LB_DISCOVERY") or raw["discovery"])
        parse_addresses(discovery)
        accept_fd = environ.get("LB_ACCEPT_FD")
        name = str(environ.get("LB_NAME") or raw.get("name") or "")
        _require_name(raw, name)
        shared_settings = read_shared_settings(raw)
        if shared_settings is not None:
            _check_share_lease(shared_settings, raw)
        console = environ.get("LB_CONSOLE") or raw.get("console")
        return Config(
            path=path,
            raw=raw,
            listen=parse_address(environ.get("LB_LISTEN") or raw["listen"]),
            accept_fd=int(accept_fd) if accept_fd else None,
            console=parse_address(console) if console else None,
            discovery=discovery,
            seed=int(str(raw.get("seed", "0")), 16),
            max_sockets=int(raw.get("limits", {}).get("sockets", DEFAULT_SOCKETS)),
            memory_limit_bytes=read_memory_limit(raw),
            settings=read_settings(json.dumps(raw["settings"]).encode()),
            known_list=known_list,
            state_file=state_file_path(environ, raw) if console else None,
            log_level=read_log_level(raw),
            locality=read_locality(raw),
            shared=shared_settings,
            audit=read_audit_settings(raw),
            record=read_record_settings(raw, bool(console)),
            max_list_shrink=read_max_list_shrink(raw),
        )
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}", error.remedy) from None
    except READ_ERRORS as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def read_log_level(raw: dict[str, Any]) -> str:
    """Return the lowest level that is logged, `info` by default."""
    level = raw.get("log-level", "info")
    if level not in LOG_LEVELS:
        raise ConfigError(f"log-level must be one of {', '.join(LOG_LEVELS)}, got {level!r}")
    return str(level)


def read_locality(raw: dict[str, Any]) -> Locality | None:
    """Return the section `locality`, how zones are chosen; None if it is absent."""
    section = read_section(raw.get("locality"), LocalitySection, "locality")
    if section is None:
        return None
    zones = raw["settings"].get("zones", [])
    if unknown := sorted(section.regions.keys() - set(zones)):
        raise ConfigError(f"locality.regions has a zone that settings.zones lacks: {unknown[0]!r}")
    names = sorted(set(section.regions.values()))
    # A zone without a region is a region of its own.
    numbers = tuple(
        names.index(section.regions[zone]) if zone in section.regions else len(names) + n
        for n, zone in enumerate(zones)
    )
    return section.to_locality(numbers)


def read_shared_settings(raw: dict[str, Any]) -> SharedSettings | None:
    """Return the section `shared`, the state exchanged with other sidecars; None if it is absent."""
    settings = read_shared(raw.get("shared"))
    if settings is not None:
        for address in (settings.listen, settings.advertise or settings.listen):
            parse_address(address)
        parse_addresses(settings.peers)
    return settings


def _require_name(raw: dict[str, Any], name: str) -> None:
    """ConfigError if other processes must tell this sidecar from others and it has no name."""
    for section in ("shared", "audit"):
        if raw.get(section) and not name:
            remedy = "set `name` in the file, or LB_NAME"
            raise ConfigError(f"{section} requires a name that no other sidecar has", remedy)


def _check_share_lease(settings: SharedSettings, raw: dict[str, Any]) -> None:
    longest_deadline_us = max(float(entry["deadline-us"]) for entry in raw["settings"]["classes"])
    if settings.limit and settings.lease_s * 1e6 <= longest_deadline_us:
        # The last requests under a share must end before another sidecar gets it.
        raise ConfigError("shared.limit-lease-ms must be longer than the longest deadline of a class")


def read_record_settings(raw: dict[str, Any], has_console: bool) -> RecordSettings | None:
    """Return the section `record`, what is recorded for what-if replays; None if it is absent."""
    if raw.get("record") is None:
        return None
    if not has_console:
        raise ConfigError("record requires a console: recordings are fetched from the admin listener")
    from woadyard.net.recorder import read_record  # imported only by a sidecar that records

    try:
        return read_record(raw["record"])
    except WoadyardError as error:
        raise ConfigError(str(error)) from None


def read_audit_settings(raw: dict[str, Any]) -> AuditSettings | None:
    """Return the section `audit`, where this sidecar reports its position; None if it is absent."""
    if raw.get("audit") is None:
        return None
    from woadyard.audit.messages import read_settings as read_audit  # imported only where audit is on

    settings = read_audit(raw["audit"])
    parse_addresses(settings.service)
    return settings


def read_max_list_shrink(raw: dict[str, Any]) -> float:
    """Return the share of the endpoints, above 0 and up to 1, that lists may lose at once.

    Above it losses are held back; 1, the default, holds nothing back.
    """
    share = raw.get("list-shrink-most", 1.0)
    if isinstance(share, bool) or not isinstance(share, (int, float)) or not 0 < share <= 1:
        raise ConfigError(f"list-shrink-most must be a number above 0 and up to 1, got {share!r}")
    return float(share)


def read_config_file(path: str) -> dict[str, Any]:
    """Read a JSON file; ConfigError if it holds no object, OSError or ValueError if it can't be read."""
    with open(path, "rb") as file:
        raw = json.load(file)
    if not isinstance(raw, dict):
        raise ConfigError("the file must hold a JSON object")
    return raw


def reread_config(path: str, raw_in_force: dict[str, Any]) -> tuple[dict[str, Any], Settings]:
    """Read the file again for a reload; check all of it before any of it is used.

    It must have every key of the configuration in force: a default in place of a lost key
    would silently loosen a rule. Discovery's address is the file's, also if the environment
    gave another one at the start: the file is newer.
    """
    try:
        raw = read_config_file(path)
        _require_keys(raw, raw_in_force, "", START_ONLY_KEYS)
        parse_addresses(raw["discovery"])
        read_log_level(raw)
        read_max_list_shrink(raw)
        read_shared_settings(raw)
        read_audit_settings(raw)
        read_locality(raw)
        settings = raw["settings"]
        _require_keys(settings, raw_in_force["settings"], "settings.")
        for part in ("ceilings", "invariants"):
            _require_keys(settings.get(part, {}), raw_in_force["settings"].get(part, {}), f"settings.{part}.")
        if "max-attempts" in settings.get("ceilings", {}):
            _require_positive(settings["ceilings"], "max-attempts")
        for entry in settings["classes"]:
            _check_class(entry)
        if len({entry["name"] for entry in settings["classes"]}) < len(settings["classes"]):
            raise ConfigError("two request classes have the same name")
        return raw, read_settings(json.dumps(settings).encode())
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}", error.remedy) from None
    except READ_ERRORS as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def _require_keys(
    new: dict[str, Any], old: dict[str, Any], prefix: str, optional: frozenset[str] = frozenset()
) -> None:
    if not isinstance(new, dict):
        raise ConfigError(f"{prefix or 'the file'} must be an object")
    if lost := sorted(old.keys() - new.keys() - optional):
        raise ConfigError(f"{prefix}{lost[0]} is missing")


def _check_class(entry: dict[str, Any]) -> None:
    for key in CLASS_KEYS + (KEYED_CLASS_KEYS if entry["repeat"] == "dedup" else ()):
        if key not in entry:
            raise ConfigError(f"a request class has no {key}")
    if not isinstance(entry["name"], str) or not entry["name"]:
        raise ConfigError("a request class has no name")
    _require_positive(entry, "aim-us")
    _require_positive(entry, "deadline-us")


def _require_positive(section: dict[str, Any], key: str) -> None:
    value = section[key]
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < inf:
        raise ConfigError(f"{key} must be a number above 0, got {value!r}")
