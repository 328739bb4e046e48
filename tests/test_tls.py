"""Links over TLS, with certificates of the site's authority."""

import asyncio
import pathlib

import pytest
import trustme

from rackpost import config
from rackpost import exceptions
from rackpost.link import messages
from rackpost.link import websocket
from rackpost import types

HELLO = messages.Hello(
    peer="e0",
    incarnation=types.Incarnation(1),
    data_centre=types.DataCentre("here"),
    revision=types.Revision(0),
)


def options(
    folder: pathlib.Path, name: str, authority: trustme.CA
) -> config.LinkOptions:
    cert = authority.issue_cert("127.0.0.1")
    paths = {part: folder / f"{name}.{part}" for part in ("crt", "key", "ca")}
    paths["crt"].write_bytes(cert.cert_chain_pems[0].bytes())
    paths["key"].write_bytes(cert.private_key_pem.bytes())
    authority.cert_pem.write_to_path(str(paths["ca"]))
    key_file = folder / "site.key"
    key_file.write_text("a key that all of the site know")
    return config.LinkOptions(
        key_file=str(key_file),
        tls_cert=str(paths["crt"]),
        tls_key=str(paths["key"]),
        tls_ca=str(paths["ca"]),
    )


async def link(
    server: websocket.Security, client: websocket.Security
) -> list[object]:
    received: list[object] = []
    arrived = asyncio.Event()

    async def accept(conn: websocket.WebSocketChannel) -> None:
        def receive(msg: object) -> None:
            received.append(msg)
            arrived.set()

        conn.attach(receive=receive, closed=lambda: None)
        await conn.run()

    async with websocket.serving(
        "127.0.0.1",
        0,
        security=server,
        kinds=messages.FromEntry,
        accept=accept,
        refused=lambda why: None,
    ) as port:
        async with websocket.connected(
            f"127.0.0.1:{port}", security=client, kinds=messages.FromAgent
        ) as conn:
            conn.send(HELLO)
            await arrived.wait()
    return received


def test_peers_of_the_site_link_over_tls(tmp_path: pathlib.Path) -> None:
    site = trustme.CA()
    server = options(tmp_path, "one", site).security()
    client = options(tmp_path, "two", site).security()
    assert asyncio.run(link(server, client)) == [HELLO]


def test_a_peer_of_another_authority_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    server = options(tmp_path, "one", trustme.CA()).security()
    client = options(tmp_path, "two", trustme.CA()).security()
    with pytest.raises(exceptions.LinkError):
        asyncio.run(link(server, client))


def test_a_peer_without_tls_is_refused(tmp_path: pathlib.Path) -> None:
    server = options(tmp_path, "one", trustme.CA()).security()
    client = websocket.Security(key=server.key)
    with pytest.raises(exceptions.LinkError):
        asyncio.run(link(server, client))


def test_incomplete_tls_settings_are_an_error(
    tmp_path: pathlib.Path,
) -> None:
    opts = options(tmp_path, "one", trustme.CA())
    opts.tls_ca = ""
    with pytest.raises(exceptions.ConfigError, match="go together"):
        opts.security()
    opts.tls_ca = opts.key_file
    with pytest.raises(exceptions.ConfigError, match="--tls-ca"):
        opts.security()
