"""Brings work of another host up to this host's configuration."""

from typing import TypeAlias

import attrs

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.routing import failures
from mimosapond.routing.caller_access import find_access, is_revoked
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Failure

RenewedWork: TypeAlias = Work | Failure


def renew_work(work: Work, configuration: ActiveConfiguration) -> RenewedWork:
    """Return the work with the newer of the two versions of its route.

    Parameters
    ----------
    work
        A single statement, or the first one of a transaction.
    configuration
        The configuration of this host. If it is older than that of the work,
        the work stays as it is.

    Returns
    -------
    Work | Failure
        A failure if the newer version lacks the database, the key or this
        group in the route. The other host learns of that version from the
        answer, and then knows the way to another group.
    """
    if configuration.version <= work.configuration_version:
        return work
    access = find_access(configuration, work.route.database, work.key_digest)
    if isinstance(access, Failure):
        return access
    if access.route.group != work.route.group:
        return failures.ROUTE_CHANGED
    return attrs.evolve(
        work,
        route=access.route,
        workspace=access.workspace,
        configuration_version=access.configuration_version,
    )


def is_work_revoked(work: Work, configuration: ActiveConfiguration) -> bool:
    """Return whether this host knows that the key of work was revoked."""
    is_newer = configuration.version > work.configuration_version
    return is_newer and is_revoked(
        configuration, work.route.database, work.key_digest
    )
