"""Two synthetic workloads and the schedules of their requests.

docs/MEASUREMENTS.md gives the lengths, shares and targets.
"""

import json
import random
from typing import NamedTuple

from rackpost.decide import prefix
from rackpost.state import terms as terms_mod
from rackpost.testing import engine
from rackpost import types


class Kind(NamedTuple):
    """A kind of request.

    `prompt` gives its bounds in tokens, `share` its fraction of all
    requests.  A kind without a prompt goes to a plain service.
    """

    name: str
    service: str
    share: float
    prompt: tuple[int, int] = (0, 0)
    max_tokens: int = 0
    weight: float = 1.0
    ttft_s: float = 0.59
    repeat: types.RepeatClass = types.RepeatClass.FREE
    method: str = "GET"

    @property
    def plain(self) -> bool:
        """Whether it goes to a plain service."""
        return self.prompt == (0, 0)

    def terms(self) -> terms_mod.Terms:
        """Return the service terms of its callers."""
        return terms_mod.Terms(
            ttft_s=self.ttft_s,
            tbt_s=0.058,
            weight=self.weight,
            repeat=self.repeat,
            max_open=100_000,
        )


class Deployment(NamedTuple):
    """A site's endpoints and the kinds of its requests."""

    name: str
    data_centres: tuple[str, ...]
    between_s: float
    model: str
    prefills: int
    decodes: int
    plain: str
    plains: int
    kinds: tuple[Kind, ...]
    burst_kind: str


_SINGLE = types.RepeatClass.SINGLE
_ONCE = types.RepeatClass.ONCE

SHORT_PROMPTS = Deployment(
    name="fjordvik",
    data_centres=("hall-nord", "hall-sor", "hall-havn"),
    between_s=0.0005,
    model="tolk",
    prefills=3,
    decodes=2,
    plain="register",
    plains=3,
    kinds=(
        Kind("dispatch", "tolk", 0.25, (300, 1100), 40, 8.0, 0.59, _SINGLE),
        Kind("sorting", "tolk", 0.35, (500, 1600), 60, 1.0, 1.2, _SINGLE),
        Kind("registry", "tolk", 0.1, (900, 2000), 80, 2.0, 1.2, _SINGLE),
        Kind("lookup", "register", 0.25, ttft_s=0.3),
        Kind(
            "filing",
            "register",
            0.05,
            weight=4.0,
            ttft_s=0.5,
            repeat=_ONCE,
            method="POST",
        ),
    ),
    burst_kind="dispatch",
)

MIXED_PROMPTS = Deployment(
    name="pentagrama",
    data_centres=("gdl-a", "gdl-b", "gdl-c"),
    between_s=0.0012,
    model="partitura-lm",
    prefills=3,
    decodes=2,
    plain="atril-app",
    plains=3,
    kinds=(
        Kind(
            "analysis", "partitura-lm", 0.2, (3000, 8000), 150, 4.0, 3.0, _ONCE
        ),
        Kind("markup", "partitura-lm", 0.4, (300, 900), 40, 2.0, 0.59),
        Kind("preview", "atril-app", 0.4, ttft_s=0.3),
    ),
    burst_kind="markup",
)

DEPLOYMENTS = {item.name: item for item in (SHORT_PROMPTS, MIXED_PROMPTS)}

# A prompt starts with the instructions of its kind, followed by a prefix
# that a group of callers shares.
_SYSTEM_TOKENS = 256
_GROUP_TOKENS = 128
_GROUPS = 24


class Offer(NamedTuple):
    """A request of a schedule; `at` is its time in seconds."""

    at: float
    number: int
    kind: Kind
    body: bytes
    prompt_tokens: int
    fresh_tokens: int
    max_tokens: int


def _filler(rng: random.Random, tokens: int) -> str:
    size = tokens * prefix.BYTES_PER_TOKEN
    word = f"{rng.getrandbits(48):012x} "
    return (word * (size // len(word) + 1))[:size]


def make_offer(
    kind: Kind, at: float, number: int, rng: random.Random
) -> Offer:
    """Return a request of a kind."""
    if kind.plain:
        body = f"{kind.name} {number} {rng.getrandbits(64):x}".encode()
        return Offer(at, number, kind, body, 0, 0, 0)
    tokens = rng.randint(*kind.prompt)
    shared = min(_SYSTEM_TOKENS, tokens // 2)
    group = min(_GROUP_TOKENS, max(0, tokens - shared - 64))
    system = _filler(random.Random(kind.name), shared)
    which = rng.randrange(_GROUPS)
    common = _filler(random.Random(f"{kind.name}{which}"), group)
    own = _filler(rng, tokens - shared - group)
    body = json.dumps(
        {
            "model": kind.service,
            "messages": [{"role": "user", "content": system + common + own}],
            "max_tokens": kind.max_tokens,
        }
    ).encode()
    return Offer(
        at,
        number,
        kind,
        body,
        tokens,
        tokens - shared - group,
        kind.max_tokens,
    )


def schedule(
    deployment: Deployment,
    *,
    rate: float,
    seconds: float,
    seed: int,
    burst_at: float | None = None,
    burst_s: float = 5.0,
    burst_rate: float = 0.0,
) -> list[Offer]:
    """Return an open-loop schedule of Poisson arrivals for a seed.

    From `burst_at` on, `burst_rate` additional requests a second of the
    burst kind arrive for `burst_s`, most of them at the start.
    """
    rng = random.Random(f"{deployment.name}/{seed}")
    weights = [kind.share for kind in deployment.kinds]
    offers: list[Offer] = []
    at = rng.expovariate(rate)
    while at < seconds:
        kind = rng.choices(deployment.kinds, weights)[0]
        offers.append(make_offer(kind, at, len(offers), rng))
        at += rng.expovariate(rate)
    if burst_at is not None and burst_rate > 0.0:
        kind = next(
            k for k in deployment.kinds if k.name == deployment.burst_kind
        )
        for _ in range(round(burst_rate * burst_s)):
            # A third of the burst arrives in its first tenth.
            at = burst_at + burst_s * rng.random() ** 2
            offers.append(make_offer(kind, at, len(offers), rng))
    return sorted(offers, key=lambda offer: offer.at)


class Costs(NamedTuple):
    """The least that a request takes of each resource, in seconds."""

    prefill_s: float
    slot_s: float


def costs(offer: Offer, spec: engine.EngineSpec) -> Costs:
    """Return the least cost of a request whose shared prefix is cached.

    Its slot is occupied for the transfer and for the steps of a full batch.
    """
    if offer.kind.plain:
        return Costs(0.0, 0.0)
    prefill = spec.prefill_base_s
    prefill += offer.fresh_tokens / spec.prefill_tokens_s
    transfer = offer.prompt_tokens * spec.kv_token_bytes / spec.link_bytes_s
    steps = len(engine.answer_to(offer.body))
    step = spec.step_s + spec.step_stream_s * spec.slots
    return Costs(prefill, transfer + steps * step)
