"""HTTP client of the control service's operator API."""

import json
import pathlib
from typing import Any
import urllib.error
import urllib.parse
import urllib.request

from rackpost import exceptions

_TIMEOUT_S = 5.0
_ROUNDS = 5


class ControlClient:
    """Client of the operator API that tries each replica in turn."""

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
        """Return the decoded answer to a GET."""
        text = urllib.parse.urlencode(query)
        return self._request(f"{page}?{text}" if text else page, None)

    def post(self, path: str, body: dict[str, Any]) -> Any:
        """Send a change; retries are safe because it has an operation id."""
        return self._request(path, json.dumps(body).encode())

    def _request(self, path: str, data: bytes | None) -> Any:
        error = "no control replica answers"
        for url in self._urls * _ROUNDS:
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
                error = explain(text)
            except OSError as exc:
                error = f"{url}: {exc}"
        raise exceptions.ControlError(error)


def explain(text: str) -> str:
    """Return the message for the user in an error answer."""
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
