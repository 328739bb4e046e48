"""Checks before a request to an endpoint, and records after its answer.

All senders of requests to endpoints use this module, so that eligibility,
named rates and their log lines are handled in one place.
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
    """Raise Barred if the endpoint is ineligible now."""
    reason = eligible.ineligible_reason(endpoint, now)
    if reason is not None:
        raise exceptions.EndpointIneligible(reason.value)


def record_answer(
    eligible: eligibility.Eligibility,
    requested: endpoints.Endpoint,
    head: message.Head,
    *,
    part: logs.Part,
    now: float,
) -> frozenset[eligibility.IneligibleReason]:
    """Record what an answer says about later requests.

    `requested` is the endpoint the request was sent to.  Returns the reasons
    for which the answering endpoint has newly become ineligible.
    """
    feedback = eligibility.EndpointFeedback(
        backoff_s=headers.backoff_s(head),
        leaving=headers.announces_leaving(head),
        rejected=headers.is_rejection(head),
    )
    endpoint = eligible.answering_endpoint(requested, _answered_by(head))
    if endpoint is None:
        return frozenset()
    _record_rate(eligible.rates, endpoint, head, part=part, now=now)
    new_reasons = eligible.record_feedback(endpoint, feedback, now)
    for reason in new_reasons:
        logs.say(
            part,
            "Endpoint wants no more requests.",
            endpoint=endpoint.id,
            born=endpoint.born,
            why=reason.value,
            status=head.status,
            backoff_s=feedback.backoff_s,
        )
    return new_reasons


def _record_rate(
    rates: endpoint_rates.RateTable,
    endpoint: endpoints.Endpoint,
    head: message.Head,
    *,
    part: logs.Part,
    now: float,
) -> None:
    """Record the rate that an answer names, or that it names none."""
    named = headers.named_rate(head)
    if named.unreadable and rates.record_unreadable(endpoint):
        logs.say(
            part,
            "Rate can't be read.",
            endpoint=endpoint.id,
            born=endpoint.born,
            status=head.status,
        )
    before = rates.per_s(endpoint)
    if not rates.record_answer(endpoint, named, now):
        return
    logs.say(
        part,
        "Endpoint's rate has changed.",
        endpoint=endpoint.id,
        born=endpoint.born,
        status=head.status,
        rate_per_s=rates.per_s(endpoint),
        before_per_s=before,
    )


def _answered_by(head: message.Head) -> types.EndpointId | None:
    """Return the id of the answering endpoint, if the answer has it."""
    ident = message.find(head.headers, headers.ANSWERED_BY)
    return None if ident is None else types.EndpointId(ident.decode("latin-1"))
