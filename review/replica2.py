"""A replica of a plain or a model service, as PROTOCOL.md describes one.

Started by `site2.py` as a process of its own, with its settings as one JSON
argument.  It writes what reaches it and what it runs to a file, one JSON
object a line; times are readings of the machine's steady clock.
"""

import asyncio
import json
import os
import signal
import sys
import time

PIECES = 40


def _number(value, default):
    try:
        return int(value)
    except (TypeError, ValueError):
        return default


class Replica:
    """One process of a replica: an incarnation with a `born` of its own."""

    def __init__(self, conf):
        self.conf = conf
        self.ident = conf["id"]
        self.version = conf.get("version", "v1")
        self.stage = conf.get("stage", "")
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.orders = 0
        self.fence = 0
        self.busy = False
        self.running = 0
        self.state = "ready"
        self.leaving = None
        self.log_file = open(conf["log"], "a", buffering=1)
        self.control = list(conf["control"])
        self.beat_at = 0

    def log(self, event, **fields):
        """Write a line of the record."""
        found = {"t": round(time.monotonic(), 4), "ev": event}
        found.update(replica=self.ident, born=self.born, software=self.version)
        found.update(fields)
        self.log_file.write(json.dumps(found) + "\n")

    # Service discovery.

    def heartbeat(self):
        """The body of the next heartbeat."""
        self.sequence += 1
        found = {
            "service": self.conf["service"],
            "address": self.conf["address"],
            "zone": self.conf["zone"],
            "version": self.version,
            "slots": self.conf.get("slots", 6),
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            found["stage"] = self.stage
            found["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return found

    def drain(self):
        """Leave as planned: say `draining` at once and from now on."""
        self.state = "draining"
        self.log("drains")
        self.leaving = asyncio.create_task(self.beat(self.heartbeat()))

    async def beat(self, body):
        """Send one heartbeat to the first node that acknowledges it."""
        text = json.dumps(body).encode()
        head = (
            f"PUT /v1/instances/{self.ident} HTTP/1.1\r\nHost: control\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(text)}\r\n\r\n"
        ).encode()
        for _ in self.control:
            host, _, port = self.control[0].rpartition(":")
            writer = None
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        host, int(port)
                    )
                    writer.write(head + text)
                    status = (await reader.readline()).split(b" ")
                    if len(status) > 1 and status[1][:1] == b"2":
                        self.log("beat", sequence=body["sequence"],
                                 state=body["state"], at=self.control[0])
                        return
            except (OSError, TimeoutError):
                pass
            finally:
                if writer is not None:
                    writer.close()
            self.control.append(self.control.pop(0))

    async def beats(self):
        """Send heartbeats; each may come some time after it was due."""
        late_s = self.conf.get("beat_late_s", 0.0)
        tasks = set()
        while True:
            body = self.heartbeat()
            task = asyncio.create_task(self._late(late_s, body))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(self.conf["beat_s"])

    async def _late(self, late_s, body):
        await asyncio.sleep(late_s)
        await self.beat(body)

    # Requests.

    async def serve(self, reader, writer):
        """Answer the requests of one connection, one after the other."""
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        """Read and answer one request; return whether to go on."""
        line = await reader.readline()
        if not line:
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (line := await reader.readline()) not in (b"\r\n", b""):
            key, _, value = line.decode("latin-1").partition(":")
            headers[key.strip().lower()] = value.strip()
        body = await reader.readexactly(_number(headers.get("content-length"), 0))
        await self.answer(reader, writer, method, target, headers, body)
        await writer.drain()
        return True

    def send(self, writer, status, headers, body, lines=()):
        """Write a whole answer."""
        head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        ident = headers.get("x-request-id")
        if ident is not None:
            head.append(f"X-Request-Id: {ident}")
        if self.state == "draining":
            head.append("Server-Leaving: 1")
        head += [*self.conf.get("lines", ()), *lines]
        writer.write("\r\n".join([*head, "", ""]).encode() + body)

    async def answer(self, reader, writer, method, target, headers, body):
        """Answer a request that was read whole."""
        ident = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.ident):
            self.log("other", id=ident, expected=expected)
            lines = [f"X-Instance-Id: {self.ident}", "X-Not-Executed: 1"]
            self.send(writer, 421, headers, b"", lines)
            return
        if target.startswith("/v1/"):
            self.call(writer, method, target, headers, body)
            return
        self.log("arrives", id=ident, target=target,
                 stage=headers.get("x-serving-stage", ""))
        if self.conf.get("refuses"):
            lines = ["X-Not-Executed: 1"]
            self.send(writer, 503, headers, b"", lines)
            return
        if headers.get("x-serving-stage") == "prefill":
            if self.stage != "prefill":
                self.send(writer, 421, headers, b"")
                return
            handle = os.urandom(6).hex()
            text = json.dumps(
                {"kvHandle": handle, "tokens": 100, "version": 1}
            ).encode()
            self.send(writer, 200, headers, text)
            return
        if self.stage == "prefill":
            self.send(writer, 421, headers, b"")
            return
        self.log("runs", id=ident, target=target)
        if "crash" in target:
            self.log("crashes", id=ident)
            self.crash()
            await asyncio.Event().wait()
        self.running += 1
        try:
            if self.stage == "decode":
                await self.stream(reader, writer, headers, ident)
            else:
                await asyncio.sleep(self.conf.get("work_s", 0.05))
                seal = f"X-Response-Seal: {ident}.{self.ident}"
                self.send(writer, 200, headers, b"done " + body, [seal])
        finally:
            self.running -= 1
        self.log("ran", id=ident)

    def crash(self):
        """End at once; with `dark`, the case cuts its network before."""
        number = signal.SIGSTOP if self.conf.get("dark") else signal.SIGKILL
        os.kill(os.getpid(), number)

    async def stream(self, reader, writer, headers, ident):
        """Write the events of a stream, from where the client has them."""
        after = _number(headers.get("last-event-id"), 0)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {ident}\r\nX-Response-Seal: {ident}.{self.ident}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(after + 1, PIECES + 1):
            await asyncio.sleep(self.conf.get("piece_s", 0.1))
            if reader.at_eof() or writer.is_closing():
                raise OSError("its caller has left")
            end = self.conf.get("line_end", "\n")
            text = f"id: {number}{end}data: {self.version}{end}{end}".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def call(self, writer, method, target, headers, body):
        """Answer a call of the system's own."""
        if target == "/v1/report":
            text = json.dumps(
                {
                    "stage": self.stage,
                    "models": [{"name": "m", "version": 1, "adapters": []}],
                    "busy": self.busy,
                    "sequence": self.orders,
                    "queued": 0,
                    "running": self.running,
                    "kvUsed": 0,
                    "kvTotal": 90000,
                    "kvHandles": 0,
                    "born": self.born,
                }
            ).encode()
            self.send(writer, 200, headers, text)
        elif target == "/v1/order":
            order = json.loads(body)
            self.log("order", **order)
            if order["fence"] < self.fence:
                self.send(writer, 412, headers, b"{}")
                return
            self.fence = order["fence"]
            # The stages of these small sites stay as they are.
            self.send(writer, 409, headers, b"{}")
        elif target == "/v1/hold-take":
            text = b'{"hold":"%b"}' % os.urandom(6).hex().encode()
            self.send(writer, 200, headers, text)
        else:
            self.send(writer, 200, headers, b"{}")


async def main():
    """Listen, send heartbeats, and serve until the process is killed."""
    replica = Replica(json.loads(sys.argv[1]))
    host, _, port = replica.conf["listen"].rpartition(":")
    server = await asyncio.start_server(replica.serve, host, int(port))
    replica.log("starts")
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1, replica.drain
    )
    beats = asyncio.create_task(replica.beats())
    async with server:
        await server.serve_forever()
    beats.cancel()


if __name__ == "__main__":
    asyncio.run(main())
