"""
eelgrassfork.metric_table
~~~~~~~~~~~~~~~~~~~~~~~~~

Table of all metrics that the router reports.
"""

from typing import Final, Literal, NamedTuple

__all__ = ('METRICS_BY_NAME', 'Kind', 'MetricSpec')

Kind = Literal['counter', 'gauge', 'timer']


class MetricSpec(NamedTuple):
    """
    Definition of a metric.

    :param kind: how statsd aggregates its samples.
    :param labels: labels that follow the name, in this order.
    :param description: meaning of the metric.
    """

    kind: Kind
    labels: tuple[str, ...]
    description: str


METRICS_BY_NAME: Final = {
    'requests': MetricSpec(
        'counter',
        ('route', 'status'),
        'Responses by route and HTTP status; 499 if the caller disconnected.',
    ),
    'request_ms': MetricSpec(
        'timer',
        ('route',),
        'Milliseconds from the arrival of a request to the end of the response.',
    ),
    'refusals': MetricSpec(
        'counter',
        ('code', 'outcome'),
        'Requests that the router rejected with an error, by code and outcome.',
    ),
    'orders': MetricSpec(
        'counter',
        ('service', 'outcome'),
        'Non-idempotent calls, by recorded outcome.',
    ),
    'plain_retries': MetricSpec(
        'counter',
        ('service',),
        'Idempotent plain calls retried at another backend server.',
    ),
    'chat_first_token_ms': MetricSpec(
        'timer',
        ('service',),
        'Milliseconds from the arrival of a streaming request until its '
        'first token is forwarded.',
    ),
    'chat_tokens': MetricSpec(
        'counter',
        ('service',),
        'Prompt and completion tokens billed for model calls.',
    ),
    'chat_retries': MetricSpec(
        'counter',
        ('service',),
        'Model calls retried at another backend server before the response.',
    ),
    'chat_resumes': MetricSpec(
        'counter',
        ('service',),
        'Interrupted streams that were resumed at their backend server.',
    ),
    'chat_cut': MetricSpec(
        'counter',
        ('service', 'code'),
        'Responses to model calls visibly truncated after they began.',
    ),
    'chat_refusals': MetricSpec(
        'counter',
        ('service', 'code'),
        'Model calls that failed before the response began.',
    ),
    'ejections': MetricSpec(
        'counter',
        ('service',),
        'Backend servers temporarily ejected by this router.',
    ),
    'server_returns': MetricSpec(
        'counter',
        ('service',),
        'Ejected backend servers that were returned to service.',
    ),
    'servers_listed': MetricSpec(
        'gauge',
        (),
        'Backend servers of all services in the VM list.',
    ),
    'servers_ejected': MetricSpec(
        'gauge',
        (),
        'Backend servers currently ejected by this router.',
    ),
    'servers_leaving': MetricSpec(
        'gauge',
        (),
        'Backend servers that get no new requests because they are leaving.',
    ),
    'claims_pending': MetricSpec(
        'gauge',
        (),
        'Outcomes of claims not yet stored at the platform.',
    ),
    'keys_in_use': MetricSpec(
        'gauge',
        (),
        'Keys issued by this router whose request has no outcome yet.',
    ),
    'key_reports_pending': MetricSpec(
        'gauge',
        (),
        'Outcomes not yet acknowledged by the issuer of the key.',
    ),
    'requests_in_flight': MetricSpec(
        'gauge',
        (),
        'Requests in progress at this router.',
    ),
    'credit_drawn': MetricSpec(
        'counter',
        (),
        'Tokens drawn by accounts of this router, net over 10 s.',
    ),
    'credit_returned': MetricSpec(
        'counter',
        (),
        'Tokens returned by accounts of this router, net over 10 s.',
    ),
    'credit_reclaimed': MetricSpec(
        'counter',
        (),
        'Tokens of dead holders reclaimed by this router.',
    ),
    'credit_refusals': MetricSpec(
        'counter',
        ('organisation', 'code'),
        'Requests rejected for lack of credit, by organisation and code.',
    ),
    'engine_orders': MetricSpec(
        'counter',
        ('service', 'order', 'outcome'),
        'Orders to engines, by service, order and outcome: done or failed.',
    ),
    'peer_bytes': MetricSpec(
        'counter',
        ('direction',),
        'Body bytes exchanged with other routers, sent or received.',
    ),
    'peers_heard': MetricSpec(
        'gauge',
        (),
        'Peer routers from which this router has received a heartbeat.',
    ),
    'peers_suspect': MetricSpec(
        'gauge',
        (),
        'Peer routers without a heartbeat for three heartbeat intervals.',
    ),
    'loop_late_ms': MetricSpec(
        'gauge',
        (),
        'Maximum event loop delay in milliseconds since the last report.',
    ),
    'bundle_age_s': MetricSpec(
        'gauge',
        (),
        'Seconds since the bundle came into force at this router.',
    ),
    'bundle_version': MetricSpec(
        'gauge',
        (),
        'Version of the bundle in force at this router; 0 without a bundle.',
    ),
    'held_head_bytes': MetricSpec(
        'gauge',
        (),
        'Bytes of request heads and pipelined data that were received.',
    ),
    'held_body_announced_bytes': MetricSpec(
        'gauge',
        (),
        'Announced bytes of requests that were not received yet.',
    ),
    'held_body_received_bytes': MetricSpec(
        'gauge',
        (),
        'Bytes of request bodies that were received.',
    ),
    'held_pipelined_bytes': MetricSpec(
        'gauge',
        (),
        'Bytes received while a request of the connection was in progress.',
    ),
    'held_response_bytes': MetricSpec(
        'gauge',
        (),
        'Bytes of large responses not yet sent.',
    ),
    'held_server_body_bytes': MetricSpec(
        'gauge',
        (),
        "Bytes of backend servers' bodies that are buffered.",
    ),
    'held_control_body_bytes': MetricSpec(
        'gauge',
        (),
        'Bytes of bodies of peers and of the platform.',
    ),
    'open_connections': MetricSpec(
        'gauge',
        (),
        'Open connections of all listeners.',
    ),
    'bounded_callers': MetricSpec(
        'gauge',
        (),
        'Callers refused or ended since the start to bound memory and '
        'descriptors.',
    ),
}
