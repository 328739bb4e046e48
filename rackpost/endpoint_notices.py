"""What is asked before anything is sent to an endpoint, and noted after.

Whoever speaks to endpoints passes each send and each answer's head through
here, so that one place decodes what they say of later requests, one keeps it
and one logs it.
"""

from rackpost.decide import eligibility
from rackpost.decide import endpoint_rates
from rackpost import exceptions
from rackpost.http1 import message
from rackpost import logs
from rackpost.platform import headers
from rackpost.routing import endpoints
from rackpost import types


def check_eligible(
    eligible: eligibility.Eligibility,
    endpoint: endpoints.Endpoint,
    now: float,
) -> None:
    """Raise Barred if nothing may be sent to an endpoint now."""
    bar = eligible.ineligible_reason(endpoint, now)
    if bar is not None:
        raise exceptions.EndpointIneligible(bar.value)


def record_answer(
    eligible: eligibility.Eligibility,
    requested: endpoints.Endpoint,
    head: message.Head,
    *,
    part: logs.Part,
    now: float,
) -> frozenset[eligibility.IneligibleReason]:
    """Note what an answer to a request for `requested` says; what is news."""
    said = eligibility.EndpointFeedback(
        backoff_s=headers.backoff_s(head),
        leaving=headers.announces_leaving(head),
        rejected=headers.is_rejection(head),
    )
    endpoint = eligible.answering_endpoint(requested, _answered_by(head))
    if endpoint is None:
        return frozenset()
    _note_rate(eligible.rates, endpoint, head, part=part, now=now)
    news = eligible.record_feedback(endpoint, said, now)
    for bar in news:
        logs.say(
            part,
            "Endpoint wants no more requests.",
            endpoint=endpoint.id,
            born=endpoint.born,
            why=bar.value,
            status=head.status,
            backoff_s=said.backoff_s,
        )
    return news


def _note_rate(
    book: endpoint_rates.RateTable,
    endpoint: endpoints.Endpoint,
    head: message.Head,
    *,
    part: logs.Part,
    now: float,
) -> None:
    """Note the rate that an answer names, or that it names none."""
    named = headers.named_rate(head)
    if named.unreadable and book.record_unreadable(endpoint):
        logs.say(
            part,
            "Rate can't be read.",
            endpoint=endpoint.id,
            born=endpoint.born,
            status=head.status,
        )
    before = book.per_s(endpoint)
    if not book.record_answer(endpoint, named, now):
        return
    logs.say(
        part,
        "Endpoint's rate has changed.",
        endpoint=endpoint.id,
        born=endpoint.born,
        status=head.status,
        rate_per_s=book.per_s(endpoint),
        before_per_s=before,
    )


def _answered_by(head: message.Head) -> types.EndpointId | None:
    """Who says to have answered, where that is said."""
    told = message.find(head.headers, headers.ANSWERED_BY)
    return None if told is None else types.EndpointId(told.decode("latin-1"))
