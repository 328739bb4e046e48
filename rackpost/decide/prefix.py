"""Prompt prefixes as chained block hashes, and who may hold them."""

from collections import OrderedDict
import hashlib

from rackpost import types

# A token is taken as four bytes of text, as engines' own estimates do; a
# block is what is hashed at once.  Engines cache in smaller blocks, but
# routing needs no finer grain (measured: see docs/MEASUREMENTS.md).
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 128
_BLOCK_BYTES = BYTES_PER_TOKEN * BLOCK_TOKENS


def count_tokens(text: bytes) -> int:
    """An estimate of the tokens in `text`, at least one."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def block_hashes(text: bytes) -> tuple[types.BlockHash, ...]:
    """A hash for each whole block, covering all text up to its end."""
    hashes = []
    parent = b""
    for at in range(0, len(text) - _BLOCK_BYTES + 1, _BLOCK_BYTES):
        digest = hashlib.blake2b(
            text[at : at + _BLOCK_BYTES], digest_size=8, key=parent
        )
        parent = digest.digest()
        hashes.append(types.BlockHash(int.from_bytes(parent, "big")))
    return tuple(hashes)


class PrefixHints:
    """Blocks that an endpoint probably caches, least recent dropped.

    A hint only: events come late and with gaps, so the agent's answer to
    a reservation decides.
    """

    def __init__(self, *, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[types.BlockHash, None] = OrderedDict()

    def add(self, blocks: tuple[types.BlockHash, ...]) -> None:
        """These blocks were cached just now."""
        # The prefix's first block must be dropped last, as in engines.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def drop(self, blocks: tuple[types.BlockHash, ...]) -> None:
        """These blocks are no longer cached."""
        for block in blocks:
            self._blocks.pop(block, None)

    def match(self, blocks: tuple[types.BlockHash, ...]) -> int:
        """How many leading blocks are probably cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count
