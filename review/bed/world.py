"""Configuration and entries of a small deployment, as the pages show them."""

import time


def configuration(version, prepaid=10**9, **changes):
    """A configuration with one model service and one plain service."""
    common = {
        'hostname': 'shop.example',
        'priority': 1,
        'allowAnonymous': False,
        'sticky': False,
        'gapAimMs': 0,
        'streamResume': False,
    }
    routes = [
        {
            **common,
            'name': 'match',
            'pathPrefix': '/match/',
            'kind': 'streaming',
            'service': 'matcher',
            'maxAttempts': 1,
            'timeoutMs': 12000,
            'targetLatencyMs': 500,
            'gapAimMs': 300,
            'sticky': True,
        },
        {
            **common,
            'name': 'order',
            'pathPrefix': '/order/',
            'kind': 'non_idempotent',
            'service': 'desk',
            'maxAttempts': 1,
            'timeoutMs': 2500,
            'targetLatencyMs': 200,
        },
        {
            **common,
            'name': 'status',
            'pathPrefix': '/status/',
            'kind': 'idempotent',
            'service': 'desk',
            'maxAttempts': 2,
            'timeoutMs': 2500,
            'targetLatencyMs': 200,
        },
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'matcher',
                'healthPath': '/healthz',
                'maxConnections': 370,
                'engine': {'slots': 64, 'kvCapacity': 420042, 'stride': 1},
            },
            {'name': 'desk', 'healthPath': '/healthz', 'maxConnections': 370},
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'shop', 'apiKeys': ['key-1'], 'prepaid': prepaid}],
        **changes,
    }


def entry(service, address, zone, sequence=1, born=None, **changes):
    """Entry with which a server registers in the store."""
    return {
        'service': service,
        'address': address,
        'zone': zone,
        'version': 'v1',
        'slots': 64,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': sequence,
        'born': born or int(time.time() * 1000),
        **changes,
    }
