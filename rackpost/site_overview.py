"""Fetches a coordinator's overview of the site and prints it as tables."""

from typing import Iterable
import urllib.error
import urllib.request

import msgspec

from rackpost.coordinator import overview
from rackpost import exceptions

PAGE = "/status"
# A reachable coordinator answers at once, from memory.
_TIMEOUT_S = 2.0


def fetch(addresses: str) -> overview.Overview:
    """Fetch the overview from the first coordinator that answers.

    `addresses` are the `host:port` of their metrics pages, separated by
    commas.  Raises ControlError if none answers.
    """
    wanted = [item for item in addresses.split(",") if item]
    if not wanted:
        raise exceptions.ConfigError("--coordinators names no address")
    last_error = ""
    for address in wanted:
        base = address if "//" in address else f"http://{address}"
        try:
            with urllib.request.urlopen(
                base + PAGE, timeout=_TIMEOUT_S
            ) as resp:
                return msgspec.json.decode(resp.read(), type=overview.Overview)
        except (OSError, ValueError) as exc:
            last_error = f"{base}: {exc}"
        except msgspec.DecodeError as exc:
            last_error = f"{base}: not a coordinator's page: {exc}"
    raise exceptions.ControlError(last_error)


def to_json(found: overview.Overview) -> str:
    """Return the overview as JSON."""
    return msgspec.json.encode(found).decode()


def status(found: overview.Overview) -> str:
    """Return a summary: leader, members, document version and counts."""
    quorum = "hears a quorum" if found.hears_quorum else "HEARS NO QUORUM"
    return "\n".join(
        (
            f"as {found.vm} ({found.replica}) knows it; it {quorum}",
            f"leader     {found.leader or 'none'}, term {found.term}",
            f"voters     {', '.join(found.voters) or 'none'}",
            f"learners   {', '.join(found.learners) or 'none'}",
            f"document   version {_version(found)}, "
            f"{len(found.routes)} routes",
            f"gateways   {len(found.gateways)}: {', '.join(found.gateways)}",
            f"endpoints  {len(found.endpoints)}",
        )
    )


def _version(found: overview.Overview) -> str:
    return "none" if found.version is None else str(found.version)


def routes(found: overview.Overview) -> str:
    """Return a table of the routes."""
    rows = [
        (
            item.host + item.prefix,
            item.name,
            item.kind.value,
            ", ".join(
                f"{target.service}:{target.weight:g}"
                for target in item.targets
            ),
            f"{item.timeout_s:g}",
            f"{item.target_s:g}",
            str(item.priority),
            str(item.max_attempts),
        )
        for item in found.routes
    ]
    head = (
        "route",
        "name",
        "kind",
        "services",
        "time s",
        "target s",
        "priority",
        "attempts",
    )
    return f"version {_version(found)}\n" + _table(head, rows)


def endpoints(found: overview.Overview) -> str:
    """Return a table of the endpoints."""
    rows = [
        (
            item.id,
            item.service,
            item.role.value,
            item.state.value + (", changing" if item.changing else ""),
            item.data_centre,
            item.address,
            str(item.slots),
            f"{item.silent_s:g}",
        )
        for item in found.endpoints
    ]
    head = (
        "endpoint",
        "service",
        "role",
        "state",
        "data centre",
        "address",
        "slots",
        "silent s",
    )
    return _table(head, rows)


def quotas(found: overview.Overview) -> str:
    """Return a table of the organisations' quota use in the last window."""
    rows = [
        (
            item.organisation,
            f"{item.rate_per_s:g}" if item.rate_per_s else "none",
            f"{item.burst:g}",
            str(item.units),
            str(item.refused),
            ", ".join(f"{vm}:{units}" for vm, units in item.gateways),
        )
        for item in found.quotas
    ]
    head = (
        "organisation",
        "a second",
        "burst",
        "used in window",
        "refused",
        "most at",
    )
    return _table(head, rows)


def waiting(found: overview.Overview) -> str:
    """Return a table of the generations that wait for capacity."""
    rows = [
        (
            item.kind,
            item.organisation or "-",
            str(item.priority),
            str(item.waiting),
            str(item.late),
            f"{item.oldest_s:g}",
            ", ".join(f"{vm}:{count}" for vm, count in item.gateways),
        )
        for item in found.waiting
    ]
    head = (
        "kind",
        "organisation",
        "priority",
        "waiting",
        "late",
        "oldest s",
        "most at",
    )
    return _table(head, rows)


def quarantined(found: overview.Overview) -> str:
    """Return a table of the quarantined requests and parts of prompts."""
    rows = [
        (
            item.fingerprint,
            "request" if item.part is None else f"prompt part {item.part}",
            ", ".join(item.endpoints),
            f"{item.left_s:g}",
            ", ".join(item.together_with),
        )
        for item in found.held
    ]
    head = (
        "fingerprint",
        "what",
        "ended endpoints",
        "quarantined s",
        "only together with",
    )
    return _table(head, rows)


def _table(head: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> str:
    lines = [head, *rows]
    widths = [max(len(line[at]) for line in lines) for at in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
