"""Addresses that are given on: to servers of another test run, or to another service of the platform."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.lab import Lab
from tests.sockets import (
    Endpoint,
    Reader,
    Writer,
    http_request,
    http_response,
    on_loop,
    read_message,
    run_sidecar,
)

PRINT_HOST = "from tests.sockets import LOOPBACK_HOST; print(LOOPBACK_HOST)"
# What another service may answer to a request that isn't meant for it; none of it is an endpoint's 200.
FOREIGN_RESPONSES = [
    http_response(404, b"no such page"),
    http_response(400, b"bad request"),
    http_response(204, b""),
    http_response(302, b"", "Location: /login\r\n"),
    b"220 mail.example ESMTP\r\n",
    b"SSH-2.0-OpenSSH_9.2\r\n",
    b"\x15\x03\x01\x00\x02\x02\x46",
]
FOREIGN_NAMES = ["404", "400", "204", "302", "smtp", "ssh", "tls-alert"]


class ForeignEndpoint(Endpoint):
    """A server of another service, which answers everything with the same bytes and closes."""

    def __init__(self, response: bytes) -> None:
        super().__init__()
        self.response, self.request_count = response, 0

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        await read_message(reader)
        self.request_count += 1
        writer.write(self.response)
        writer.close()


# Guards against requests of another test run's sidecar, which still lists a port that was given on.
async def test_a_port_given_on_to_another_test_run_gets_no_request(lab: Lab) -> None:
    other_process = subprocess.run(
        [sys.executable, "-c", PRINT_HOST],
        cwd=Path(__file__).parent.parent, check=True, capture_output=True, text=True,
    )  # fmt: skip
    closed = Endpoint()
    server = await closed.start()
    program = await lab.sidecar("n1", [closed])
    server.close()
    await server.wait_closed()
    next_owner = Endpoint()
    next_owner.host = other_process.stdout.strip()
    lab.servers.append(await next_owner.start(closed.port))
    responses = [await program.request(rid=f"r{number}") for number in range(5)]
    assert "200" not in {response.start_line.split()[1] for response in responses}
    assert not next_owner.received


@pytest.mark.parametrize("response", FOREIGN_RESPONSES, ids=FOREIGN_NAMES)
@pytest.mark.parametrize("cls", ["page", "pay"])
@on_loop
async def test_an_answer_of_another_service_is_no_endpoint_s_answer(cls: str, response: bytes) -> None:
    foreign = ForeignEndpoint(response)
    async with run_sidecar(foreign) as sidecar:
        answer = await sidecar.send(http_request(cls, b"x" if cls == "pay" else b""))
        status = answer.start_line.split()[1]
        assert status != "200"
        if cls == "pay":  # it may have run there: no promise that a retry is harmless, and no second attempt
            assert status not in ("429", "503") and foreign.request_count == 1


@on_loop
async def test_a_request_gets_its_answer_from_an_endpoint_beside_another_service() -> None:
    foreign = ForeignEndpoint(FOREIGN_RESPONSES[0])
    async with run_sidecar(foreign, Endpoint()) as sidecar:
        answers = [await sidecar.send(http_request(rid=f"r{number}")) for number in range(20)]
        assert {answer.start_line.split()[1] for answer in answers} == {"200"}
        assert foreign.request_count < len(answers)
