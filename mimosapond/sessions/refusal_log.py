"""Logs statements that did not run or whose outcome is unknown."""

from typing import Final

from loguru import logger

from mimosapond.statements.reply import Failure, FailureKind, Reply

_LOGGED_KINDS: Final = frozenset((FailureKind.unknown, FailureKind.not_run))


def log_refusal(request_id: str, database: str, reply: Reply) -> None:
    """Write a line if the reply is a failure of one of these kinds."""
    if isinstance(reply, Failure) and reply.kind in _LOGGED_KINDS:
        logger.bind(
            request=request_id,
            database=database,
            kind=reply.kind.value,
            text=reply.text,
        ).info('request_refused')
