"""The version of rackpost."""

VERSION = "0.1.0"
