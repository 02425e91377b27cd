"""Builds the requests that the load tool sends."""

import time
from typing import Any, Final, final

from mimosapond.access_mode import AccessMode
from mimosapond.request_id import RequestId
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest

_NS_PER_MS: Final = 1_000_000


@final
class RequestFactory:
    """Builds requests of one service, each with a new request id."""

    def __init__(self, service: str) -> None:
        """Create a factory for the named service."""
        self._service = service

    def insert(
        self,
        workspace: str,
        row_id: str,
        **fields: Any,
    ) -> StatementRequest:
        """Build the insert of one order, which must run at most once."""
        statement = Statement(
            'INSERT INTO orders (id, note, tally) VALUES (?, ?, ?)',
            (row_id, 'posted', 1),
        )
        return self.build(workspace, AccessMode.WRITE, statement, **fields)

    def count(
        self, workspace: str, row_id: str, **fields: Any
    ) -> StatementRequest:
        """Build a read that counts the orders with an id: 0 or 1."""
        statement = Statement(
            'SELECT count(*) FROM orders WHERE id = ?',
            (row_id,),
        )
        return self.build(workspace, AccessMode.READ, statement, **fields)

    def build(
        self,
        workspace: str,
        mode: AccessMode,
        *statements: Statement,
        **fields: Any,
    ) -> StatementRequest:
        """Build a request from its statements and further fields."""
        now_unix_ms = time.time_ns() // _NS_PER_MS
        return StatementRequest(
            service=self._service,
            workspace=workspace,
            request_id=str(RequestId.create(now_unix_ms)),
            mode=mode,
            statements=statements,
            **fields,
        )
