"""
eelgrassfork.platform.adapter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Creates the parts of a router that speak to the users' platform.
"""

from collections.abc import Callable
from typing import Final

from ..gateway.exchange import ForwardMetadata
from ..gateway.follower import Decoders
from ..gateway.forwarder import WireCodec
from ..gateway.node import NodeAdapter
from ..gateway.node_settings import NodeSettings
from ..gateway.store import Store
from ..http_client import HttpClient
from . import heads, server_entries
from .config_decoder import decode_configuration
from .store_client import StoreClient

__all__ = ('encode_metadata', 'make_adapter')

# The platform's deployment file expects metrics on this port.
_METRICS_PORT_OFFSET: Final = 1


def make_adapter(settings: NodeSettings) -> NodeAdapter:
    """
    Create the platform-specific parts of a router.

    :param settings: settings of this process.
    :returns: store client factory, decoders and encoders.
    """

    def make_store(client: HttpClient, on_call: Callable[[str], None]) -> Store:
        return StoreClient(client, settings.store_address, on_call)

    return NodeAdapter(
        make_store=make_store,
        decoders=Decoders(
            'config',
            'main',
            server_entries.KIND,
            decode_configuration,
            server_entries.decode_entry,
            'evacuations',
        ),
        codec=WireCodec(heads.decode_request, heads.encode_retry_after),
        encode_metadata=encode_metadata,
        decode_response=heads.decode_response,
        metrics_port=settings.first_internal_port + _METRICS_PORT_OFFSET,
    )


def encode_metadata(metadata: ForwardMetadata) -> tuple[tuple[str, str], ...]:
    """
    Encode the headers that are added to a request to a backend server.

    :param metadata: properties of the request.
    :returns: header names and values.
    """
    return heads.encode_added_headers(heads.AddedHeaders(*metadata))
