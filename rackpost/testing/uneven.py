"""Endpoints of unequal speed for the simulated fleet."""

import random

import msgspec


class Speeds(msgspec.Struct, frozen=True, kw_only=True):
    """How much slower than usual each endpoint of a role is.

    Attributes:
        factors: times per token over the usual one, by endpoint; repeated
            where there are more endpoints.
        spell_share: share of time that an endpoint spends in slow spells.
        spell_s: length of a spell, in seconds.
        spell_factor: additional factor during a spell.
    """

    factors: tuple[float, ...] = (1.0,)
    spell_share: float = 0.0
    spell_s: float = 0.5
    spell_factor: float = 1.0

    def factor(self, number: int, now: float) -> float:
        """Return the factor of an endpoint at a clock reading."""
        usual = self.factors[number % len(self.factors)]
        if not self.spell_share:
            return usual
        window = int(now / self.spell_s)
        rng = random.Random(f"{number}:{window}")
        in_spell = rng.random() < self.spell_share
        return usual * (self.spell_factor if in_spell else 1.0)
