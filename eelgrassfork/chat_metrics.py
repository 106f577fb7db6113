"""
eelgrassfork.chat_metrics
~~~~~~~~~~~~~~~~~~~~~~~~~

Metrics of chat requests by service.
"""

from typing import Final

from .chat_run import ChatRun
from .errors import RequestError
from .metrics import Metrics

__all__ = ('count_tokens', 'report_run')

_MS: Final = 1000


def report_run(
    metrics: Metrics,
    run: ChatRun,
    started_at: float,
    failure: RequestError | None,
    answer_started: bool,
) -> None:
    """
    Report a finished request.

    :param metrics: receives the metrics.
    :param run: the request.
    :param started_at: time of its arrival, on the clock of trio.
    :param failure: error of an incomplete answer, ``None`` for a complete
        one.
    :param answer_started: whether the answer to the caller had begun.
    """
    fleet = run.request.caller.fleet
    service = run.request.service.name
    if run.first_token_at is not None:
        duration_ms = (run.first_token_at - started_at) * _MS
        metrics.timing(
            'chat_first_token_ms', fleet, service, milliseconds=duration_ms
        )
    if run.retry_count:
        metrics.count('chat_retries', fleet, service, amount=run.retry_count)
    if run.resume_count:
        metrics.count('chat_resumes', fleet, service, amount=run.resume_count)
    if failure is not None and answer_started:
        metrics.count('chat_cut', fleet, service, failure.code)
    elif failure is not None:
        metrics.count('chat_refusals', fleet, service, failure.code)


def count_tokens(metrics: Metrics, run: ChatRun, tokens: int) -> None:
    """
    Count the billed tokens of a request.

    :param metrics: receives the metric.
    :param run: the request.
    :param tokens: billed prompt and completion tokens.
    """
    request = run.request
    metrics.count(
        'chat_tokens', request.caller.fleet, request.service.name, amount=tokens
    )
