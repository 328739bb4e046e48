"""Measures the cost of large routing documents: python -m lab.documents.

Prints sizes in bytes and CPU times in milliseconds for documents of several
sizes: as operators send them, as complete documents and changes between
coordinators and gateways, and when a key is added to many organisations.
Route names are random, like those of operators' tools.
"""

import json
import random
import time
from typing import Callable

from rackpost.platform import documents
from rackpost.routing import changes
from rackpost.routing import match
from rackpost.routing import model

_SIZES = (1400, 2800, 4200)
_ADDED = 1400
_ROUNDS = 7
# Each organisation has two keys.
_ORGANISATIONS = 630
_KEYED_ROUTES = 40
_SERVICE = {"name": "plain", "maxConnections": 100}


def _word(rng: random.Random) -> str:
    return f"{rng.randrange(2**32):08x}"


def _route(rng: random.Random) -> dict[str, object]:
    return {
        "name": f"r-{_word(rng)}",
        "hostname": f"site-{rng.randrange(4)}.example",
        "pathPrefix": f"/{_word(rng)}/",
        "kind": "safe",
        "timeoutMs": 1060,
        "targetLatencyMs": 154,
        "priority": 1,
        "service": "plain",
        "maxAttempts": 2,
    }


def _organisation(rng: random.Random) -> dict[str, object]:
    return {
        "name": f"o-{_word(rng)}",
        "apiKeys": [_word(rng) + _word(rng) for _ in range(2)],
        "priority": 1,
        "unit": "token_stream",
        "plainTokens": 200,
        "ratePerS": 29000,
        "burst": 29000,
    }


def source(
    version: int,
    routes: list[dict[str, object]],
    organisations: list[dict[str, object]] | None = None,
) -> bytes:
    """Return a document as an operator sends it."""
    doc: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": [_SERVICE],
        "limits": {},
    }
    if organisations is not None:
        doc["tenants"] = organisations
    return json.dumps(doc, separators=(",", ":")).encode()


def best_ms(what: Callable[[], object]) -> float:
    """Return the least time of several rounds, in milliseconds."""
    took = []
    for _ in range(_ROUNDS):
        began = time.perf_counter()
        what()
        took.append(time.perf_counter() - began)
    return min(took) * 1e3


def _table(change: changes.Change) -> match.RouteTable:
    found = match.RouteTable()
    found.apply(change)
    return found


def _print_change(name: str, old: model.Document, new: model.Document) -> None:
    change = changes.diff(old, new)
    data = changes.encode(change)
    table = _table(changes.from_empty(old))
    began = time.perf_counter()
    table.apply(change)
    took = (time.perf_counter() - began) * 1e3
    print(
        f"  {name}: {len(data)} B; coordinator: compare "
        f"{best_ms(lambda: changes.diff(old, new)):.2f} ms, encode "
        f"{best_ms(lambda: changes.encode(change)):.2f}; gateway: decode "
        f"{best_ms(lambda: changes.decode(data)):.2f}, apply {took:.2f}"
    )


def _print_keys(rng: random.Random) -> None:
    """Print the cost of an additional key with many organisations."""
    routes = [_route(rng) for _ in range(_KEYED_ROUTES)]
    held = [_organisation(rng) for _ in range(_ORGANISATIONS)]
    reader = documents.IncrementalDecoder()
    text = source(1, routes, held)
    doc = reader.decode(text)
    whole = len(changes.encode(changes.from_empty(doc)))
    print(
        f"{_ORGANISATIONS} organisations, {_KEYED_ROUTES} routes: "
        f"{len(text)} B as sent, {whole} B whole; coordinator: decode "
        f"{best_ms(lambda: documents.decode(text)):.1f} ms, after a like one "
        f"{best_ms(lambda: reader.decode(text)):.1f}"
    )
    doc = reader.decode(text)
    more = dict(held[9], apiKeys=[*held[9]["apiKeys"], _word(rng)])
    one = reader.decode(source(2, routes, [*held[:9], more, *held[10:]]))
    _print_change("one key more", doc, one)


def main() -> None:
    """Run the measurements and print them."""
    rng = random.Random(1)
    routes = [_route(rng) for _ in range(max(_SIZES) + _ADDED)]
    for size in _SIZES:
        text = source(1, routes[:size])
        doc = documents.decode(text)
        whole = changes.from_empty(doc)
        data = changes.encode(whole)
        reader = documents.IncrementalDecoder()
        reader.decode(text)
        print(
            f"{size} routes: {len(text)} B as sent; coordinator: decode "
            f"{best_ms(lambda: documents.decode(text)):.1f} ms, after a like "
            f"one {best_ms(lambda: reader.decode(text)):.1f}"
        )
        print(
            f"  whole: {len(data)} B; encode "
            f"{best_ms(lambda: changes.encode(whole)):.1f} ms; gateway: "
            f"decode {best_ms(lambda: changes.decode(data)):.1f}, apply "
            f"{best_ms(lambda: _table(whole)):.1f}"
        )
        doc = reader.decode(text)
        one = reader.decode(source(2, routes[: size + 1]))
        many = reader.decode(source(2, routes[: size + _ADDED]))
        _print_change("one route more", doc, one)
        _print_change(f"{_ADDED} routes more", doc, many)
    _print_keys(rng)


if __name__ == "__main__":
    main()
