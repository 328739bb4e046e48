"""Relaying an endpoint's answer to the client, whole or as a stream."""

import asyncio

from rackpost import exceptions
from rackpost.gateway import call as call_mod
from rackpost.http1 import client
from rackpost.http1 import events
from rackpost.http1 import message
from rackpost.routing import endpoints


def relay_whole(call: call_mod.Call, head: message.Head, body: bytes) -> None:
    """Send an endpoint's whole answer to the client, unchanged."""
    lines = message.end_to_end(head.headers)
    if call.is_head:
        length = message.find(head.headers, b"content-length")
        if length is not None:
            lines.append((b"content-length", length))
        call.responder.send_head(head.status, lines)
    else:
        call.responder.send(head.status, lines, body)


async def relay_stream(
    call: call_mod.Call,
    endpoint: endpoints.Endpoint,
    head: message.Head,
    conn: client.ClientConnection,
) -> None:
    """Send a stream's events to the client as they come, each once.

    Raises ExchangeError where the stream is cut within an event, or ends with
    its connection before there was one.
    """
    responder = call.responder
    if not responder.started:
        responder.start(200, message.end_to_end(head.headers))
    splitter = events.Splitter()
    has_event = False
    while chunk := await conn.read():
        fresh = []
        for event in splitter.feed(chunk):
            if _is_new(call, event):
                fresh.append(event.data)
            _record_event(call, event)
            has_event = True
        if len(splitter.rest) > events.MAX_EVENT_BYTES:
            raise exceptions.ExchangeError("an event is too long")
        if call.last_event_id is not None and call.record_first_event(
            endpoint
        ):
            # Lets the links send the origin before the client has the event.
            await asyncio.sleep(0)
        began = call.site.loop_time()
        await responder.send_chunk(b"".join(fresh))
        call.times.client_s += call.site.loop_time() - began
    if not splitter.is_between_events:
        raise exceptions.ExchangeError("ended within an event")
    if not has_event and head.framing is message.Framing.CLOSE:
        raise exceptions.ExchangeError("ended before its first event")
    await responder.send_chunk(splitter.rest)
    responder.finish()


def _is_new(call: call_mod.Call, event: events.Event) -> bool:
    """Whether the client has not been sent this event yet."""
    if event.id is None or call.last_event_id is None:
        return True
    return event.id > call.last_event_id


def _record_event(call: call_mod.Call, event: events.Event) -> None:
    """Record an event, and its time if it is new to the client."""
    if event.id is None:
        return
    call.record_event()
    if _is_new(call, event):
        call.last_event_id = event.id
        call.times.record_event(call.site.loop_time())
