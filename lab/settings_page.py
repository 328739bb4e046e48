"""Writes docs/SETTINGS.md from the schema: python -m lab.settings_page."""

import pathlib

from rackpost.state import schema

_HEAD = """# Settings

Produced from the schema by `make settings-page`; do not edit.

A key is `[service[/kind].]name`: `weight`, `tolk.ttft_s`,
`tolk/dispatch.ttft_s`.  A node inherits from its parent and overrides
only what differs.  The nearest node counts, an event in force before its
node, and at one node the key that says most.

| name | default | unit | allowed | meaning |
| --- | --- | --- | --- | --- |
"""


def page() -> str:
    """Return the text of the page."""
    rows = []
    for item in schema.SETTINGS.values():
        allowed = " or ".join(item.words)
        if not allowed and not isinstance(item.default, str):
            allowed = f"{item.low:g} to {item.high:g}"
        note = item.help if item.inherited else f"{item.help} (not inherited)"
        rows.append(
            f"| `{item.name}` | {item.default} | {item.unit} | "
            f"{allowed or 'text'} | {note} |\n"
        )
    return _HEAD + "".join(rows)


if __name__ == "__main__":
    pathlib.Path("docs/SETTINGS.md").write_text(page())
