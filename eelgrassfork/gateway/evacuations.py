"""
eelgrassfork.gateway.evacuations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Failure domains that the operator has evacuated, which get no new requests.

Routers exchange evacuations as records beside those of servers.  The id of
such a record begins with a prefix that entries of servers may not have.
"""

from typing import Final

import logbook
import trio

__all__ = (
    'LISTED_ID',
    'Evacuations',
    'evacuation_id',
    'is_evacuation_id',
    'is_valid_domain',
)

_log = logbook.Logger('evacuations')

_PREFIX: Final = 'evacuations/'
# Record that tells that a listing of the evacuations was applied.  Without it,
# a router that has just started can't tell from a peer's records whether
# there are no evacuations, or the peer doesn't know them yet.
LISTED_ID: Final = _PREFIX
# As for the failure domains in entries of servers.
_MAX_NAME_LENGTH: Final = 200


def evacuation_id(failure_domain: str) -> str:
    """
    Return the id of the record of an evacuation.

    :param failure_domain: name of the failure domain.
    :returns: id, which no server can have.
    """
    return _PREFIX + failure_domain


def is_evacuation_id(record_id: str) -> bool:
    """
    Check whether a record is about an evacuation, and not about a server.

    :param record_id: id of the record.
    :returns: whether the id is reserved for evacuations.
    """
    return record_id.startswith(_PREFIX)


def is_valid_domain(name: str) -> bool:
    """
    Check whether an object may name a failure domain.

    :param name: name of the object.
    :returns: ``False`` for names that no server's failure domain can have.
    """
    return 0 < len(name) <= _MAX_NAME_LENGTH


class Evacuations:
    """
    Evacuated failure domains, as far as this router knows.

    :param max_wait_s: longest time for which no server may be used after the
        first server became known, as the evacuations are not known yet;
        ``None`` if this deployment has no evacuations.
    """

    def __init__(self, max_wait_s: float | None = None) -> None:
        self._max_wait_s = max_wait_s
        self._since_by_domain: dict[str, float] = {}
        self._is_listed = False
        self._wait_ends_at: float | None = None

    @property
    def count(self) -> int:
        """Number of evacuated failure domains."""
        return len(self._since_by_domain)

    @property
    def is_listed(self) -> bool:
        """Whether this router or the source of its records has listed them."""
        return self._is_listed

    @property
    def is_awaited(self) -> bool:
        """Whether no server may be used, as evacuations are not known yet."""
        if self._is_listed or self._wait_ends_at is None:
            return False
        return trio.current_time() < self._wait_ends_at

    def begin_wait(self) -> None:
        """Begin to wait for the evacuations, as servers are known now."""
        if self._max_wait_s is not None and self._wait_ends_at is None:
            self._wait_ends_at = trio.current_time() + self._max_wait_s

    def may_send(self, failure_domain: str) -> bool:
        """
        Check whether new requests may be sent to a failure domain.

        :param failure_domain: name of the server's failure domain.
        :returns: ``False`` if it is evacuated, or if this is not known yet.
        """
        return failure_domain not in self._since_by_domain and (
            not self.is_awaited
        )

    def apply(self, record_id: str, revoked: bool, source: str) -> str | None:
        """
        Apply a record that supersedes the known one.

        :param record_id: id of the record.
        :param revoked: whether the operator has deleted the object.
        :param source: ``store`` or the name of the peer, for the log.
        :returns: the failure domain whose evacuation has ended, if any.
        """
        if record_id == LISTED_ID:
            self._is_listed = True
            return None
        failure_domain = record_id.removeprefix(_PREFIX)
        fields = {'failure_domain': failure_domain, 'source': source}
        now_s = trio.current_time()
        if not revoked:
            if failure_domain not in self._since_by_domain:
                self._since_by_domain[failure_domain] = now_s
                _log.warning('failure domain evacuated', extra=fields)
            return None
        since = self._since_by_domain.pop(failure_domain, None)
        if since is None:
            # Unless this router has just started, it was cut off meanwhile.
            return failure_domain if self._is_listed else None
        _log.warning(
            'evacuation revoked',
            extra={**fields, 'lasted_s': round(now_s - since, 1)},
        )
        return failure_domain

    def dump(self) -> dict[str, object]:
        """
        Describe the evacuations for operators.

        :returns: whether they are known, and the time since this router
            learned of each one.
        """
        now_s = trio.current_time()
        return {
            'is_listed': self._is_listed,
            'is_awaited': self.is_awaited,
            'age_s_by_domain': {
                failure_domain: round(now_s - since, 1)
                for failure_domain, since in self._since_by_domain.items()
            },
        }
