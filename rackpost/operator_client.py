"""The operators' interface of control, as a program asks it."""

import json
import pathlib
from typing import Any
import urllib.error
import urllib.parse
import urllib.request

from rackpost import exceptions

_TIMEOUT_S = 5.0
_TRIES = 5


class ControlClient:
    """The operators' interface, at whichever replica answers."""

    def __init__(self, *, addresses: str, key_file: str) -> None:
        self._urls = [
            url if "//" in url else f"http://{url}"
            for url in addresses.split(",")
            if url
        ]
        if not self._urls:
            raise exceptions.ConfigError("--control names no replica")
        try:
            key = pathlib.Path(key_file).read_text().strip()
        except OSError as exc:
            raise exceptions.ConfigError(
                f"--operator-key-file: {exc.strerror}"
            ) from exc
        self._headers = {"Authorization": f"Bearer {key}"}

    def get(self, page: str, **query: str) -> Any:
        """The answer to a question."""
        text = urllib.parse.urlencode(query)
        return self._ask(f"{page}?{text}" if text else page, None)

    def post(self, path: str, body: dict[str, Any]) -> Any:
        """The result of a change; it is resent under its operation id."""
        return self._ask(path, json.dumps(body).encode())

    def _ask(self, path: str, data: bytes | None) -> Any:
        last = "no control replica answers"
        for url in self._urls * _TRIES:
            req = urllib.request.Request(
                url + path, data=data, headers=self._headers
            )
            try:
                with urllib.request.urlopen(req, timeout=_TIMEOUT_S) as resp:
                    return json.load(resp)
            except urllib.error.HTTPError as exc:
                text = exc.read().decode(errors="replace")
                if exc.code != 503:
                    raise exceptions.SettingsError(explain(text)) from exc
                last = explain(text)
            except OSError as exc:
                last = f"{url}: {exc}"
        raise exceptions.ControlError(last)


def explain(text: str) -> str:
    """What an answer that is an error tells its reader."""
    try:
        body = json.loads(text)
    except ValueError:
        return text
    if body.get("type") == "conflict":
        return (
            f"conflict: {body['theirs']} (revision {body['revision']}); "
            "read it again, then change what it is now"
        )
    return str(body.get("detail", text))
