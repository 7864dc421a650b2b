"""What operators do with a running sidecar: real processes on loopback."""

from __future__ import annotations

import asyncio
import signal
import socket
from itertools import count, islice
from pathlib import Path

import pytest

from tests.process import call, config, free_port, ready, start
from tests.sockets import Endpoint, Message, Registry, Writer, answer, read_message, request, run


def test_a_second_process_takes_over_on_the_platforms_socket(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] == "slow":
                await release.wait()
            writer.write(answer())

        endpoint, registry = Endpoint(slow), Registry()
        listening = socket.create_server(("127.0.0.1", 0))
        port = listening.getsockname()[1]
        async with await endpoint.start(), await registry.start():
            environ = {
                **config(tmp_path, registry, endpoint, listen=f"127.0.0.1:{port}"),
                "LB_ACCEPT_FD": str(listening.fileno()),
            }
            doors = [free_port(), free_port()]
            old = await start({**environ, "LB_CONSOLE": f"127.0.0.1:{doors[0]}"}, listening.fileno())
            await ready(doors[0])
            kept, kept_writer = await asyncio.open_connection("127.0.0.1", port)
            kept_writer.write(request(rid="first"))
            assert "connection" not in (await read_message(kept)).headers
            taken, taken_writer = await asyncio.open_connection("127.0.0.1", port)
            taken_writer.write(request(rid="slow"))
            await endpoint.arrived.acquire()
            await endpoint.arrived.acquire()
            new = await start({**environ, "LB_CONSOLE": f"127.0.0.1:{doors[1]}"}, listening.fileno())
            await ready(doors[1])
            old.send_signal(signal.SIGTERM)
            while (await call(doors[0], "GET", "/_ready")).start.startswith("HTTP/1.1 200"):
                await asyncio.sleep(0.01)
            for n in range(20):  # all come to the new process, or some would see it end
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(request(rid=f"new{n}"))
                assert "connection" not in (await read_message(reader)).headers
                writer.close()
            kept_writer.write(request(rid="kept"))
            back = await read_message(kept)
            assert back.body == b"ok" and back.headers["connection"] == "close"
            release.set()
            back = await read_message(taken)
            assert back.body == b"ok" and back.headers["connection"] == "close"
            _, errors = await old.communicate()
            assert (old.returncode, errors) == (0, b"")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request(rid="after"))
            assert (await read_message(reader)).body == b"ok", "the socket outlives the old process"
            writer.close()
            new.send_signal(signal.SIGTERM)
            _, errors = await new.communicate()
            assert (new.returncode, errors) == (0, b"")

    run(main())


@pytest.mark.parametrize("descriptor", ["x", "-1", "0", "99999999999999999999"])
def test_a_descriptor_that_is_no_listener_is_one_line_and_an_exit(tmp_path: Path, descriptor: str) -> None:
    async def main() -> None:
        registry = Registry()
        async with await registry.start():
            process = await start({**config(tmp_path, registry), "LB_ACCEPT_FD": descriptor})
            _, errors = await process.communicate()
            assert process.returncode == 2
            assert errors.count(b"\n") == 1 and errors.startswith(b"woadyard: ")

    run(main())


@pytest.mark.parametrize("console", ["nowhere", "127.0.0.1:99999", "192.0.2.1:80", 5])
def test_a_console_that_cannot_be_used_is_one_line_and_an_exit(tmp_path: Path, console: object) -> None:
    async def main() -> None:
        registry = Registry()
        async with await registry.start():
            process = await start(config(tmp_path, registry, console=console))
            _, errors = await process.communicate()
            assert process.returncode == 2
            assert errors.count(b"\n") == 1 and errors.startswith(b"woadyard: ")

    run(main())


def test_a_ban_holds_over_an_upgrade_and_one_call_ends_it(tmp_path: Path) -> None:
    async def main() -> None:
        first, second, registry = Endpoint(), Endpoint(), Registry()
        listening = socket.create_server(("127.0.0.1", 0))
        port = listening.getsockname()[1]
        async with await first.start(), await second.start(), await registry.start():
            known = {"generation": 1, "reset": True, "instances": [first.entry("s-1"), second.entry("s-2")]}
            environ = {
                **config(tmp_path, registry, listen=f"127.0.0.1:{port}", known=known),
                "LB_ACCEPT_FD": str(listening.fileno()),
            }
            ids = count()

            async def ask(times: int) -> None:
                for n in islice(ids, times):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(request(rid=f"r{n}"))
                    assert (await read_message(reader)).body == b"ok"
                    writer.close()

            async def said(door: int, what: str, body: str) -> str:
                return (await call(door, "POST", f"/_endpoints/{what}", body)).start.split()[1]

            doors = [free_port(), free_port()]
            old = await start({**environ, "LB_CONSOLE": f"127.0.0.1:{doors[0]}"}, listening.fileno())
            await ready(doors[0])
            assert await said(doors[0], "detach", "s-9") == "404"
            assert await said(doors[0], "detach", "") == "400"
            for _ in range(2):
                assert await said(doors[0], "detach", "s-1") == "200"
            await ask(20)
            new = await start({**environ, "LB_CONSOLE": f"127.0.0.1:{doors[1]}"}, listening.fileno())
            await ready(doors[1])
            old.send_signal(signal.SIGTERM)
            await old.wait()
            await ask(20)
            assert not first.got, "no process sends it anything"
            assert await said(doors[1], "attach", "s-1") == "200"
            while not first.got:
                await ask(1)
            new.send_signal(signal.SIGTERM)
            _, errors = await new.communicate()
            assert (new.returncode, errors) == (0, b"")

    run(main())
