"""
The project's store stand-in, with bodies written by the standard JSON module.

It returns a stored string as it was written, also one with an unpaired
surrogate, which JSON allows as an escape.
"""

import json

from standins.metadata_store import MetadataStore

__all__ = ('JsonStore',)


class JsonStore(MetadataStore):
    """Store whose bodies are ASCII with escapes."""

    async def _respond(self, call, status, content):
        headers = (
            ('content-type', 'application/json'),
            ('store-era', str(self.era)),
        )
        await call.respond(status, json.dumps(content).encode(), headers)
