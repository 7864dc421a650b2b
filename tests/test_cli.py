"""The command line: `check-config` says what a start or a SIGHUP would say."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from tests.process import config, free_port, start
from tests.sockets import SETTINGS, FakeDiscovery, run_test

CLASS = SETTINGS["classes"][0]
# Each turned down by SIGHUP; the last three also by the start.
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


async def check_config(path: Path, *more: str) -> tuple[int | None, list[str]]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "woadyard", "check-config", str(path), *more, stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode().splitlines()


async def said_by_wiring(stderr: asyncio.StreamReader) -> dict[str, Any]:
    """The next line of the wiring itself, past any of the network's parts."""
    while (said := json.loads(await stderr.readline()))["logger"] != "woadyard":
        pass
    return dict(said)


def write(path: Path, good: dict[str, Any], bad: dict[str, Any] | bytes) -> None:
    path.write_bytes(bad if isinstance(bad, bytes) else json.dumps({**good, **bad}).encode())


def test_each_fault_that_sighup_turns_down_is_its_line_and_the_process_is_untouched(tmp_path: Path) -> None:
    async def main() -> None:
        registry = FakeDiscovery()
        async with await registry.start():
            environ = {**config(tmp_path, registry), "LB_LISTEN": f"127.0.0.1:{free_port()}"}
            path = Path(environ["LB_CONFIG"])
            good = json.loads(path.read_text())
            in_force = tmp_path / "in-force.json"
            in_force.write_text(path.read_text())
            assert await check_config(path) == (0, [f"{path}: good"])
            process = await start(environ)
            assert process.stderr is not None
            await registry.watches.get()
            for bad in BAD_RELOADS:
                write(path, good, bad)
                code, lines = await check_config(path, "--in-force", str(in_force))
                process.send_signal(signal.SIGHUP)
                said = await said_by_wiring(process.stderr)
                assert said["event"] == "not reloaded" and code == 2 and said["error"] in lines, bad
            path.write_text(json.dumps(good))
            process.send_signal(signal.SIGHUP)
            assert (await said_by_wiring(process.stderr))["event"] == "reloaded"
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run_test(main())


@pytest.mark.parametrize("bad", BAD_STARTS)
def test_a_fault_that_stops_a_start_is_the_same_line(tmp_path: Path, bad: dict[str, Any]) -> None:
    async def main() -> None:
        registry = FakeDiscovery()
        environ = config(tmp_path, registry, **bad)
        code, lines = await check_config(Path(environ["LB_CONFIG"]))
        process = await start(environ)
        _, errors = await process.communicate()
        assert (code, process.returncode) == (2, 2)
        assert json.loads(errors)["error"] == lines[0]

    run_test(main())


def test_each_command_has_help() -> None:
    async def main() -> None:
        for words in ((), ("check-config",)):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "woadyard", *words, "--help", stdout=asyncio.subprocess.PIPE
            )
            out, _ = await process.communicate()
            assert process.returncode == 0 and out.startswith(b"usage: woadyard")

    run_test(main())
