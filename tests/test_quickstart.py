"""Runs the README's first example on a clean clone of the committed tree, up to a response."""

from __future__ import annotations

import asyncio
import os
import re
import shlex
import shutil
import subprocess
from pathlib import Path

import pytest

from tests.lab import Lab, Program, call

ROOT = Path(__file__).parent.parent


def readme_line(pattern: str) -> str:
    """Return the only line of the README that matches `pattern`."""
    (line,) = re.findall(rf"^{pattern}$", (ROOT / "README.md").read_text(), re.M)
    return str(line)


@pytest.mark.skipif(shutil.which("git") is None or not (ROOT / ".git").exists(), reason="no git checkout")
async def test_the_readmes_fleet_answers_its_curl_command_and_leaves_no_process(lab: Lab) -> None:
    clone = lab.folder / "clone"
    subprocess.run(["git", "clone", "-q", str(ROOT), str(clone)], check=True)
    words = shlex.split(readme_line(r"\.venv/bin/python -m woadyard\.standins fleet"))[2:]
    port, admin_port = lab.free_port(), lab.free_port()
    listen_ports = {"LB_LISTEN": port, "LB_CONSOLE": admin_port, "LB_DISCOVERY": lab.free_port()}
    environ = {**os.environ, **{key: f"127.0.0.1:{value}" for key, value in listen_ports.items()}}
    fleet = lab.run(Program("fleet", lab.folder, words, environ, port, admin_port, cwd=clone))
    while not (ready := [event for event in fleet.events() if event.startswith("ready, try: ")]):
        assert fleet.process.poll() is None, fleet.events()
        await asyncio.sleep(0.1)
    curl = ready[0].removeprefix("ready, try: ")
    assert curl.replace(f":{port}/", ":8080/") == readme_line("curl -H .*")
    headers = dict(word.split(": ") for word in shlex.split(curl) if ": " in word)
    response = await call(port, "GET", "/page", **headers)
    assert response.status == 200 and "served /page" in response.text
    fleet.signal_process()
    assert await fleet.wait_exit() == 0
    ports = [line["port"] for line in fleet.log_lines if line["event"] == "listening"]
    for closed_port in (port, admin_port, *ports):
        with pytest.raises(ConnectionError):
            await asyncio.open_connection("127.0.0.1", closed_port)
