"""
eelgrassfork.gateway.home_regions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides in which regions a request may be processed; pure functions only.
"""

from collections.abc import Mapping

from .records import Organisation, Route

__all__ = ('home_regions', 'is_home')


def home_regions(
    route: Route, organisation: Organisation
) -> frozenset[str] | None:
    """
    Combine the lists of a route and an organisation.

    :param route: route of the request.
    :param organisation: organisation of the request.
    :returns: names of the regions that each given list contains; ``None`` if
        neither has a list, so that all regions are allowed.
    """
    lists = [
        regions
        for regions in (route.allowed_regions, organisation.allowed_regions)
        if regions is not None
    ]
    return frozenset.intersection(*lists) if lists else None


def is_home(
    failure_domain: str,
    allowed: frozenset[str],
    regions_by_domain: Mapping[str, str],
) -> bool:
    """
    Check whether servers of a failure domain may get a request.

    :param failure_domain: name of the domain.
    :param allowed: names of the regions in which the request may be processed.
    :param regions_by_domain: region of each failure domain.
    :returns: ``False`` also if the region of the domain is not known.
    """
    return regions_by_domain.get(failure_domain) in allowed
