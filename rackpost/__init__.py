"""A router for separate prefill and decode pools."""

from rackpost.version import VERSION

__all__ = ["VERSION"]
