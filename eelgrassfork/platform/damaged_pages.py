"""
eelgrassfork.platform.damaged_pages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Repairs pages of the store in which single objects can't be decoded.
"""

import json
from typing import Any

__all__ = ('repair_page',)


def repair_page(body: bytes) -> tuple[bytes, tuple[str, ...]]:
    """
    Empty the objects of a page that contain text that is not valid Unicode.

    Such an object keeps its metadata, so that it still counts as present, and
    names nothing that can be used.

    :param body: page of a listing or of a watch, as JSON.
    :returns: the page without that text, and the names of these objects.
    :raises ValueError: if the page is not a JSON object.
    """
    page = json.loads(body.decode('utf-8', 'surrogateescape'))
    if not isinstance(page, dict):
        raise ValueError('not a JSON object')
    damaged: list[str] = []
    for wire in _objects(page):
        if _is_readable(wire):
            continue
        damaged.append(_name(wire))
        wire['spec'] = None
        wire['status'] = None
    text = json.dumps(page, ensure_ascii=False)
    return text.encode('utf-8', 'replace'), tuple(damaged)


def _objects(page: dict[str, Any]) -> list[dict[str, Any]]:
    listed = page.get('items') or []
    changed = [
        event.get('object')
        for event in page.get('events') or []
        if isinstance(event, dict)
    ]
    return [wire for wire in (*listed, *changed) if isinstance(wire, dict)]


def _is_readable(wire: dict[str, Any]) -> bool:
    try:
        json.dumps(wire, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return False
    return True


def _name(wire: dict[str, Any]) -> str:
    metadata = wire.get('metadata')
    if not isinstance(metadata, dict):
        return ''
    return str(metadata.get('name', '')).encode('utf-8', 'replace').decode()
