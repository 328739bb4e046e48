"""Passing an endpoint's answer on to the client, whole or as a stream."""

from rackpost import exceptions
from rackpost.gateway import call as call_mod
from rackpost.http1 import client
from rackpost.http1 import events
from rackpost.http1 import message


def pass_whole(call: call_mod.Call, head: message.Head, body: bytes) -> None:
    """Pass an endpoint's whole answer on, unchanged."""
    lines = message.end_to_end(head.headers)
    if call.is_head:
        length = message.find(head.headers, b"content-length")
        if length is not None:
            lines.append((b"content-length", length))
        call.responder.send_head(head.status, lines)
    else:
        call.responder.send(head.status, lines, body)


async def relay(
    call: call_mod.Call, head: message.Head, conn: client.ClientConnection
) -> None:
    """Pass a stream's events on as they come, each once and whole.

    Raises ExchangeError where the stream is cut within an event.
    """
    responder = call.responder
    if not responder.started:
        responder.start(200, message.end_to_end(head.headers))
    splitter = events.Splitter()
    while chunk := await conn.read():
        fresh = []
        for event in splitter.feed(chunk):
            if _is_new(call, event):
                fresh.append(event.data)
            _note_event(call, event)
        await responder.send_chunk(b"".join(fresh))
    if splitter.rest:
        raise exceptions.ExchangeError("ended within an event")
    responder.finish()


def _is_new(call: call_mod.Call, event: events.Event) -> bool:
    """Whether the client has not been sent an event yet."""
    if event.id is None or call.last_event is None:
        return True
    return event.id > call.last_event


def _note_event(call: call_mod.Call, event: events.Event) -> None:
    """An event came; one that the client lacks counts as sent to it."""
    if event.id is None:
        return
    call.on_event()
    if _is_new(call, event):
        call.last_event = event.id
        call.times.note_event(call.site.loop_time())
