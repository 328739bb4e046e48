"""Checks the models: python -m spec.check [--mutants].

With --mutants, each model is checked with each of its known faults, and the
run fails unless every fault violates an invariant.
"""

import argparse
import sys
from typing import Any

import minicheck

from spec import claims
from spec import consensus
from spec import durable
from spec import membership
from spec import prompt_parts
from spec import quarantine
from spec import scheduler
from spec import settings

MODELS = (
    consensus,
    membership,
    durable,
    claims,
    settings,
    quarantine,
    prompt_parts,
    scheduler,
)
# The run fails if a model has more states.
_MAX_STATES = 3_000_000


def explore(model: minicheck.Protocol) -> Any:
    """Return the checker's report on a model or one of its mutants."""
    return minicheck.check_safety(model, max_states=_MAX_STATES)


def violated(report: Any) -> list[str]:
    """Return the names of the violated invariants."""
    return [
        name
        for name, found in report["properties"].items()
        if not found["holds"]
    ]


def check_models() -> bool:
    """Check each model without faults; True if no invariant is violated."""
    good = True
    for model in MODELS:
        for label, protocol in model.variants().items():
            report = explore(protocol)
            broken = violated(report)
            good = good and not broken and report["exhaustive"]
            print(
                f"{model.__name__} ({label}): "
                f"{report['reachable_states']} states explored, "
                f"{len(broken)} violations",
                flush=True,
            )
            for name in broken:
                print(f"  {name}", flush=True)
                _print_trace(report["properties"][name]["counterexample"])
    return good


def check_mutants() -> bool:
    """Check each mutant; True if every fault is found."""
    good = True
    for model in MODELS:
        for fault, text in model.MUTANTS.items():
            broken = violated(explore(model.protocol(fault)))
            good = good and bool(broken)
            word = "found" if broken else "NOT FOUND"
            print(f"{model.__name__}: {fault} ({text}): {word}", flush=True)
    return good


def _print_trace(trace: Any) -> None:
    for step in trace or []:
        print("   ", step, flush=True)


def main() -> None:
    """Run the checks."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--mutants", action="store_true")
    args = parser.parse_args()
    good = check_mutants() if args.mutants else check_models()
    sys.exit(0 if good else 1)


if __name__ == "__main__":
    main()
