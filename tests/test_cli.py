"""The command line: `check-config` prints the errors that a start or a SIGHUP would log."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.process import free_port, sidecar_environ, start_sidecar
from tests.sockets import SETTINGS, FakeDiscovery, run_test

CLASS = SETTINGS["classes"][0]
# SIGHUP rejects each of them; the last three stop a start too.
BAD_RELOADS: list[dict[str, Any] | bytes] = [
    b"",
    b"[]",
    b'{"listen": ',
    {"settings": {**SETTINGS, "classes": [{**CLASS, "deadline-us": 0}]}},
    {"settings": {**SETTINGS, "classes": [{**CLASS, "repeat": "whatever"}]}},
    {"settings": {**SETTINGS, "classes": []}},
    {"settings": {**SETTINGS, "ceilings": {**SETTINGS["ceilings"], "max-attempts": -1}}},
    {"settings": {key: SETTINGS[key] for key in SETTINGS if key != "invariants"}},
    {"discovery": "nowhere"},
    {"log-level": "loud"},
]
BAD_STARTS: list[dict[str, Any]] = [{"listen": "nowhere"}, {"seed": "xyz"}, {"log-level": 3}]


async def check_config(path: Path, *options: str) -> tuple[int | None, list[str]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard", "check-config", str(path), *options, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode().splitlines()


async def next_main_log_line(stderr: asyncio.StreamReader) -> dict[str, Any]:
    """Return the next log line of `woadyard` itself; lines of its modules are skipped."""
    while (line := json.loads(await stderr.readline()))["logger"] != "woadyard":
        pass
    return dict(line)


def write_config(path: Path, good: dict[str, Any], bad: dict[str, Any] | bytes) -> None:
    path.write_bytes(bad if isinstance(bad, bytes) else json.dumps({**good, **bad}).encode())


def test_check_config_prints_the_error_of_each_reload_that_sighup_rejects(tmp_path: Path) -> None:
    """The process keeps running and accepts a valid file afterwards."""

    async def main() -> None:
        registry = FakeDiscovery()
        async with await registry.start():
            environ = {**sidecar_environ(tmp_path, registry), "LB_LISTEN": f"127.0.0.1:{free_port()}"}
            path = Path(environ["LB_CONFIG"])
            good = json.loads(path.read_text())
            in_force = tmp_path / "in-force.json"
            in_force.write_text(path.read_text())
            assert await check_config(path) == (0, [f"{path}: good"])
            process = await start_sidecar(environ)
            assert process.stderr is not None
            await registry.watches.get()
            for bad in BAD_RELOADS:
                write_config(path, good, bad)
                status, lines = await check_config(path, "--in-force", str(in_force))
                process.send_signal(signal.SIGHUP)
                logged = await next_main_log_line(process.stderr)
                assert logged["event"] == "not reloaded" and status == 2 and logged["error"] in lines, bad
            path.write_text(json.dumps(good))
            process.send_signal(signal.SIGHUP)
            assert (await next_main_log_line(process.stderr))["event"] == "reloaded"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run_test(main())


@pytest.mark.parametrize("bad", BAD_STARTS)
def test_check_config_prints_the_error_that_stops_a_start(tmp_path: Path, bad: dict[str, Any]) -> None:
    async def main() -> None:
        registry = FakeDiscovery()
        environ = sidecar_environ(tmp_path, registry, **bad)
        status, lines = await check_config(Path(environ["LB_CONFIG"]))
        process = await start_sidecar(environ)
        _, errors = await process.communicate()
        assert (status, process.returncode) == (2, 2)
        assert json.loads(errors)["error"] == lines[0]

    run_test(main())


def test_each_command_has_help() -> None:
    async def main() -> None:
        for words in ((), ("check-config",)):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "woadyard", *words, "--help", stdout=asyncio.subprocess.PIPE
            )
            output, _ = await process.communicate()
            assert process.returncode == 0 and output.startswith(b"usage: woadyard")

    run_test(main())
