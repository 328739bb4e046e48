"""A replica of the pages, as a process: `replica.py SETTINGS.json`.

Plain, prefill or decode.  It registers by heartbeats, checks
X-Expect-Instance, echoes X-Request-Id, and writes a line of JSON for each
request that reaches it, each run and each call of its own to the `log` file.
SIGTERM is its planned end: it says `draining`, serves on for `drainMs` after
the acknowledgement and `linger_s` more, sends DELETE and ends.
"""

import asyncio
import contextlib
import json
import random
import signal
import sys
import time

_HEARTBEAT_S = 1.2
_ACK_S = 1.0
_STAGE_SWITCH_S = 6.0
_NO_ACK_END_S = 4.0


class Replica:
    def __init__(self, settings):
        self.s = settings
        self.ident = settings["id"]
        self.stage = settings.get("stage", "")
        self.state = "ready"
        self.sequence = 0
        self.orders = 0
        self.busy = False
        self.running = 0
        self.handles = 0
        self.began = time.monotonic()
        # Answers that each connection gets a second time, where the next
        # answer is due.
        self.too_many = {}
        self.born = int(time.time() * 1000) + settings.get("clock_ms", 0)
        self._log = open(settings["log"], "a", encoding="utf-8")
        self._ends = asyncio.Event()

    def note(self, what, **fields):
        fields = {"at": time.time(), "id": self.ident, "what": what, **fields}
        print(json.dumps(fields), file=self._log, flush=True)

    # What it says of itself.

    def heartbeat(self):
        self.sequence += 1
        found = {
            "service": self.s["service"],
            "address": f"{self.s['ip']}:{self.s['port']}",
            "zone": self.s["zone"],
            "version": self.s["version"],
            "slots": self.s["slots"],
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            found["stage"] = self.stage
            found["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return found

    def is_cut(self):
        """Whether control can't be reached from here."""
        return time.monotonic() - self.began < self.s.get("cut_s", 0.0)

    async def call(self, method, body):
        """Tell any coordinator; returns whether it was acknowledged."""
        controls = list(self.s["controls"])
        random.shuffle(controls)
        for place in controls:
            if self.is_cut():
                return False
            host, _, port = place.rpartition(":")
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                async with asyncio.timeout(_ACK_S):
                    status = await one_call(
                        host,
                        int(port),
                        method,
                        f"/v1/instances/{self.ident}",
                        body,
                    )
                if 200 <= status < 300:
                    return True
        return False

    async def beat(self):
        while True:
            body = self.heartbeat()
            acked = await self.call("PUT", body)
            self.note(
                "heartbeat",
                state=body["state"],
                sequence=body["sequence"],
                acked=acked,
            )
            if acked and body["state"] == "draining":
                return
            await asyncio.sleep(_HEARTBEAT_S if acked else 0.3)

    async def leave(self):
        """The planned end."""
        self.state = "draining"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_NO_ACK_END_S):
                await self.beat()
        self.note("draining is acknowledged")
        await asyncio.sleep(self.s["drain_s"] + self.s.get("linger_s", 1.0))
        acked = await self.call("DELETE", {"born": self.born})
        self.note("gone", acked=acked)
        self._ends.set()

    # Requests.

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                line, *rest = head.decode("latin-1").split("\r\n")
                method, path, _ = line.split(" ", 2)
                headers = {}
                for item in rest:
                    name, colon, value = item.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                await self.answer(writer, method, path, headers, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.too_many.pop(writer, None)
            writer.close()

    def sheds(self):
        """Whether it turns requests away now: `shed_at` are [from, to]."""
        now = time.time()
        return any(a <= now < b for a, b in self.s.get("shed_at", ()))

    async def answer(self, writer, method, path, headers, body):
        late = self.too_many.pop(writer, None)
        if late is not None:
            # One answer too many arrives late.
            ident, text = late
            self.note("sends an answer again", request=ident)
            writer.write(text)
            await writer.drain()
        if path.startswith(("/v1/kv-handle/", "/v1/hold-drop/")):
            respond(writer, 200, [], b"{}")
        elif path == "/v1/report":
            respond(writer, 200, [], json.dumps(self.report()).encode())
        elif path == "/v1/order":
            self.order(writer, headers, json.loads(body or b"{}"))
        elif path == "/v1/hold-take":
            respond(writer, 200, [], b'{"hold":"%d"}' % random.getrandbits(31))
        elif path == "/health":
            status = 200 if self.state == "ready" else 503
            respond(writer, status, [("X-Instance-Id", self.ident)], b"")
        else:
            await self.request(writer, method, path, headers, body)

    def report(self):
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.busy,
            "sequence": self.orders,
            "queued": 0,
            "running": self.running,
            "kvUsed": 1000 * self.running,
            "kvTotal": 89659,
            "kvHandles": 0,
            "state": self.state,
            "born": self.born,
        }

    def order(self, writer, headers, order):
        if headers.get("x-expect-instance", self.ident) != self.ident:
            respond(writer, 421, [("X-Not-Executed", "1")], b"")
        elif order.get("operation") != "stage" or "fence" not in order:
            respond(writer, 400, [], b"")
        elif self.busy:
            respond(writer, 409, [], b"")
        elif order["stage"] == self.stage:
            respond(writer, 200, [], b"")
        else:
            self.busy = True
            self.orders += 1
            self.note("order", **order)
            asyncio.get_running_loop().call_later(
                _STAGE_SWITCH_S, self.switch, order["stage"]
            )
            respond(writer, 202, [], b"")

    def switch(self, stage):
        self.stage, self.busy = stage, False

    async def request(self, writer, method, path, headers, body):
        ident = headers.get("x-request-id")
        expected = headers.get("x-expect-instance", self.ident)
        self.note(
            "arrives",
            request=ident,
            expected=expected,
            stage=headers.get("x-serving-stage"),
            after=headers.get("last-event-id"),
        )
        if ident is None:
            respond(writer, 400, [("X-Not-Executed", "1")], b"")
            return
        own = [
            ("X-Request-Id", ident),
            ("X-Instance-Id", self.ident),
        ]
        if expected != self.ident:
            respond(writer, 421, [*own, ("X-Not-Executed", "1")], b"")
            return
        wants = headers.get("x-serving-stage", "decode")
        if self.stage and wants != self.stage:
            respond(writer, 421, [*own, ("X-Not-Executed", "1")], b"")
            return
        if self.sheds():
            wait_s = str(self.s["rest_s"])
            fields = [*own, ("X-Not-Executed", "1"), ("Retry-After", wait_s)]
            self.note("turns away", request=ident)
            respond(writer, 503, fields, b"")
            if random.random() < self.s.get("again", 0.0):
                text = head_of(503, [*fields, ("Content-Length", "0")])
                self.too_many[writer] = (ident, text)
            return
        if self.running >= self.s["slots"]:
            respond(writer, 503, [*own, ("X-Not-Executed", "1")], b"")
            return
        own.append(("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"))
        self.running += 1
        try:
            if self.stage == "prefill":
                await self.prefill(writer, own)
            elif self.stage == "decode":
                await self.stream(writer, own, ident, headers)
            else:
                await self.plain(writer, own, ident)
        finally:
            self.running -= 1

    async def prefill(self, writer, own):
        await asyncio.sleep(self.s["work_s"])
        handle = f"{random.getrandbits(48):012x}"
        found = {"kvHandle": handle, "tokens": 1000, "version": 1}
        respond(writer, 200, own, json.dumps(found).encode())

    async def plain(self, writer, own, ident):
        self.note("runs", request=ident)
        await asyncio.sleep(self.s["work_s"])
        respond(writer, 200, own, b"from " + self.ident.encode())
        self.note("ran", request=ident)

    async def stream(self, writer, own, ident, headers):
        after = int(headers.get("last-event-id", 0))
        self.note(
            "runs", request=ident, version=self.s["version"], after=after
        )
        await asyncio.sleep(self.s["work_s"])
        head = [
            *own,
            ("Content-Type", "text/event-stream"),
            ("X-Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(head_of(200, head))
        for number in range(after + 1, self.s["events"] + 1):
            data = f"id: {number}\ndata: {self.s['version']} {self.ident}\n\n"
            writer.write(b"%x\r\n%b\r\n" % (len(data), data.encode()))
            await writer.drain()
            await asyncio.sleep(self.s["event_s"])
        writer.write(b"0\r\n\r\n")
        self.note("ran", request=ident)

    async def run(self):
        server = await asyncio.start_server(
            self.serve, self.s["ip"], self.s["port"], reuse_address=True
        )
        self.note("starts", version=self.s["version"], born=self.born)
        beating = asyncio.create_task(self.beat())

        def end():
            beating.cancel()
            tasks.append(asyncio.create_task(self.leave()))

        tasks = []
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, end)
        await self._ends.wait()
        self.note("ends", running=self.running)
        server.close()


def head_of(status, headers):
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def respond(writer, status, headers, body):
    headers = [*headers, ("Content-Length", str(len(body)))]
    writer.write(head_of(status, headers) + body)


async def one_call(host, port, method, path, body):
    """One call of control; returns its status."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        text = json.dumps(body).encode()
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode() + text
        )
        line = await reader.readline()
        return int(line.split()[1])
    except IndexError:
        return 0
    finally:
        writer.close()


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as stream:
        found = json.load(stream)
    asyncio.run(Replica(found).run())
