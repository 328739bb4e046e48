"""Links over TLS: both ends show a certificate of the site."""

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
    got: list[object] = []
    arrived = asyncio.Event()

    async def accept(conn: websocket.WebSocketChannel) -> None:
        def receive(msg: object) -> None:
            got.append(msg)
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
    return got


def test_peers_of_the_site_link_over_tls(tmp_path: pathlib.Path) -> None:
    site = trustme.CA()
    one = options(tmp_path, "one", site).security()
    two = options(tmp_path, "two", site).security()
    assert asyncio.run(link(one, two)) == [HELLO]


def test_a_peer_of_another_authority_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    one = options(tmp_path, "one", trustme.CA()).security()
    two = options(tmp_path, "two", trustme.CA()).security()
    with pytest.raises(exceptions.LinkError):
        asyncio.run(link(one, two))


def test_a_peer_without_tls_is_refused(tmp_path: pathlib.Path) -> None:
    one = options(tmp_path, "one", trustme.CA()).security()
    plain = websocket.Security(key=one.key)
    with pytest.raises(exceptions.LinkError):
        asyncio.run(link(one, plain))


def test_half_of_the_tls_settings_is_a_clear_error(
    tmp_path: pathlib.Path,
) -> None:
    opts = options(tmp_path, "one", trustme.CA())
    opts.tls_ca = ""
    with pytest.raises(exceptions.ConfigError, match="go together"):
        opts.security()
    opts.tls_ca = opts.key_file
    with pytest.raises(exceptions.ConfigError, match="--tls-ca"):
        opts.security()
