"""
eelgrassfork.metric_table
~~~~~~~~~~~~~~~~~~~~~~~~~

All metrics of the router as operators see them.
"""

from typing import Final, Literal, NamedTuple

__all__ = ('METRICS_BY_NAME', 'Kind', 'MetricSpec')

Kind = Literal['counter', 'gauge', 'timer']


class MetricSpec(NamedTuple):
    """
    A metric as operators see it.

    :param kind: how statsd adds up its samples.
    :param labels: what follows the name, in this order.
    :param sentence: what it tells.
    """

    kind: Kind
    labels: tuple[str, ...]
    sentence: str


METRICS_BY_NAME: Final = {
    'requests': MetricSpec(
        'counter',
        ('route', 'status'),
        'Requests answered, by route and HTTP status; 499 if the caller left.',
    ),
    'request_ms': MetricSpec(
        'timer',
        ('route',),
        'Milliseconds from the arrival of a request to the end of its answer.',
    ),
    'refusals': MetricSpec(
        'counter',
        ('code', 'outcome'),
        'Requests answered with an error of the router, by code and outcome.',
    ),
    'orders': MetricSpec(
        'counter',
        ('service', 'outcome'),
        'Non-idempotent calls by the outcome that was recorded for them.',
    ),
    'plain_retries': MetricSpec(
        'counter',
        ('service',),
        'Idempotent plain calls sent again to another backend server.',
    ),
    'chat_first_token_ms': MetricSpec(
        'timer',
        ('service',),
        'Milliseconds from the arrival of a request for a stream until its '
        'first token is sent on.',
    ),
    'chat_tokens': MetricSpec(
        'counter',
        ('service',),
        'Tokens of prompts and completions billed for model calls.',
    ),
    'chat_retries': MetricSpec(
        'counter',
        ('service',),
        'Model calls sent to another backend server before their answer began.',
    ),
    'chat_resumes': MetricSpec(
        'counter',
        ('service',),
        'Streams that broke and were resumed at their backend server.',
    ),
    'chat_cut': MetricSpec(
        'counter',
        ('service', 'code'),
        'Answers to model calls that were cut visibly after they had begun.',
    ),
    'chat_refusals': MetricSpec(
        'counter',
        ('service', 'code'),
        'Model calls that ended with an error before their answer began.',
    ),
    'ejections': MetricSpec(
        'counter',
        ('service',),
        'Backend servers that this router gave up for a time.',
    ),
    'server_returns': MetricSpec(
        'counter',
        ('service',),
        'Ejected backend servers that get requests again.',
    ),
    'servers_listed': MetricSpec(
        'gauge',
        (),
        'Backend servers in the VM list, of all services.',
    ),
    'servers_ejected': MetricSpec(
        'gauge',
        (),
        'Backend servers that this router has ejected.',
    ),
    'servers_leaving': MetricSpec(
        'gauge',
        (),
        'Backend servers that get no new requests because they leave.',
    ),
    'claims_pending': MetricSpec(
        'gauge',
        (),
        'Outcomes of claims that the platform does not hold yet.',
    ),
    'keys_in_use': MetricSpec(
        'gauge',
        (),
        'Issued keys of this router whose request has no outcome yet.',
    ),
    'key_reports_pending': MetricSpec(
        'gauge',
        (),
        'Outcomes that the issuer of a key has not noted yet.',
    ),
    'requests_in_flight': MetricSpec(
        'gauge',
        (),
        'Requests of callers in progress at this router.',
    ),
    'credit_drawn': MetricSpec(
        'counter',
        (),
        'Tokens set aside for accounts of this router, net in 10 s.',
    ),
    'credit_returned': MetricSpec(
        'counter',
        (),
        'Tokens that accounts of this router gave back, net in 10 s.',
    ),
    'credit_reclaimed': MetricSpec(
        'counter',
        (),
        'Tokens of dead holders that this router made available again.',
    ),
    'credit_refusals': MetricSpec(
        'counter',
        ('organisation', 'code'),
        'Requests refused for lack of credit, by organisation and code.',
    ),
    'engine_orders': MetricSpec(
        'counter',
        ('service', 'order', 'outcome'),
        'Orders to engines by kind; done or failed.',
    ),
    'peer_bytes': MetricSpec(
        'counter',
        ('direction',),
        'Bytes of exchanges with other routers, sent and received, without '
        'headers.',
    ),
    'peers_heard': MetricSpec(
        'gauge',
        (),
        'Routers that this router exchanges with or was called by.',
    ),
    'peers_suspect': MetricSpec(
        'gauge',
        (),
        'Those of them that were silent for three heartbeats.',
    ),
    'loop_late_ms': MetricSpec(
        'gauge',
        (),
        'Worst lateness of the event loop since the last report.',
    ),
    'bundle_age_s': MetricSpec(
        'gauge',
        (),
        'Seconds for which the bundle has been in force at this router.',
    ),
    'bundle_version': MetricSpec(
        'gauge',
        (),
        'Version of the bundle in force at this router, or 0.',
    ),
}
