"""Prompt prefixes as chained block hashes, and where they are cached."""

from collections import OrderedDict
import hashlib

from rackpost import types

# Tokens are estimated at four bytes of text.  Engines cache in smaller
# blocks; routing needs no finer granularity.
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 128
_BLOCK_BYTES = BYTES_PER_TOKEN * BLOCK_TOKENS


def count_tokens(text: bytes) -> int:
    """Estimate the number of tokens in `text`, at least one."""
    return max(1, -(-len(text) // BYTES_PER_TOKEN))


def block_hashes(text: bytes) -> tuple[types.BlockHash, ...]:
    """Return a hash for each full block, of all text up to its end."""
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
    """Least-recently-used set of blocks that an endpoint probably caches.

    The endpoint's cache events arrive late and incomplete, so this is only
    an estimate.
    """

    def __init__(self, *, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[types.BlockHash, None] = OrderedDict()

    def add(self, blocks: tuple[types.BlockHash, ...]) -> None:
        """Record that these blocks of one prompt were just cached."""
        # The first block of a prefix is evicted last, as in engines.
        for block in reversed(blocks):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def drop(self, blocks: tuple[types.BlockHash, ...]) -> None:
        """Record that these blocks were evicted."""
        for block in blocks:
            self._blocks.pop(block, None)

    def match(self, blocks: tuple[types.BlockHash, ...]) -> int:
        """Return how many leading blocks are probably cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count
