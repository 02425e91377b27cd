"""Writes edits of service documents to the platform by compare-and-set.

If the platform does not answer a write, the row is read back to find out
whether the write took effect. The write may still be in flight at that time,
so while the row is unchanged the same write is repeated. It has the same
change id and expects the same revision, so it takes effect at most once.
"""

import random
from typing import Final, TypeAlias, final

import attrs

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.document_accepted import DocumentAccepted
from mimosapond.document_rows import (
    document_key,
    document_payload,
    parse_row,
)
from mimosapond.document_store import DocumentStore
from mimosapond.document_unsettled import DocumentUnsettled
from mimosapond.errors import refuse
from mimosapond.options import Options
from mimosapond.platform_port import PlatformPort
from mimosapond.platform_results import (
    PlatformUnavailable,
    Row,
    RowConflict,
    RowWritten,
    WriteRowResult,
)
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.service_document import ServiceDocument

_CHANGE_ID_BYTES: Final = 16
_READ_BACK_COUNT: Final = 5
_READ_BACK_DELAY_S: Final = 0.2
_RETRY_AFTER_MS: Final = 2000
_UNSETTLED_REMEDY: Final = (
    'Read the document. The edit was accepted if a revision has this change '
    'id; if the revision has not increased, apply the edit again.'
)

EditResult: TypeAlias = DocumentAccepted | Refused | DocumentUnsettled


@final
class DocumentEditor:
    """Writes documents to the platform and to the store of this host."""

    def __init__(
        self,
        store: DocumentStore,
        platform: PlatformPort,
        clock: Clock,
        rng: random.Random,
        options: Options,
    ) -> None:
        """Create an editor that applies accepted documents to ``store``."""
        self._store = store
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._timeout_s = options.platform_timeout_ms / MS_PER_S

    async def apply(
        self,
        document: ServiceDocument,
        expected_revision: int,
    ) -> EditResult:
        """Store ``document`` if the expected revision is still current.

        Parameters
        ----------
        document
            The new content; its revision and change id are ignored.
        expected_revision
            Revision that the edit replaces; 0 for a new service.

        Returns
        -------
        DocumentAccepted | Refused | DocumentUnsettled
            ``Refused`` if the edit has not taken effect and will not.
            ``DocumentUnsettled`` if that could not be determined.
        """
        candidate = attrs.evolve(
            document,
            revision=expected_revision + 1,
            change_id=self._rng.randbytes(_CHANGE_ID_BYTES).hex(),
        )
        # During an outage the read fails before any write is sent, so the
        # edit can be refused instead of ending with an unknown result.
        row = await self._read(candidate)
        if isinstance(row, PlatformUnavailable):
            return refuse(
                RefusalReason.PLATFORM_UNAVAILABLE,
                retry_after_ms=_RETRY_AFTER_MS,
                problem=row.problem,
            )
        if row.revision != expected_revision:
            return self._conflict(candidate, row)
        return await self._write_and_resolve(candidate)

    async def _write_and_resolve(
        self, candidate: ServiceDocument
    ) -> EditResult:
        result = self._resolve_write(candidate, await self._write(candidate))
        for attempt in range(1, _READ_BACK_COUNT + 1):
            if result is not None:
                return result
            await self._clock.sleep(_READ_BACK_DELAY_S * attempt)
            result = await self._read_back(candidate)
        return result or self._unsettled(candidate, 'no answer')

    async def _read_back(
        self,
        candidate: ServiceDocument,
    ) -> EditResult | None:
        row = await self._read(candidate)
        if isinstance(row, PlatformUnavailable):
            return None
        if row.revision < candidate.revision:
            return self._resolve_write(candidate, await self._write(candidate))
        return self._resolve_row(candidate, row)

    async def _read(
        self,
        candidate: ServiceDocument,
    ) -> Row | PlatformUnavailable:
        key = document_key(candidate.service)
        return await self._platform.read_row(key, self._timeout_s)

    async def _write(self, candidate: ServiceDocument) -> WriteRowResult:
        return await self._platform.compare_and_set(
            document_key(candidate.service),
            candidate.revision - 1,
            document_payload(candidate),
            self._timeout_s,
        )

    def _resolve_write(
        self,
        candidate: ServiceDocument,
        result: WriteRowResult,
    ) -> EditResult | None:
        match result:
            case RowWritten(revision):
                return self._accept(candidate, revision)
            case RowConflict(current):
                return self._resolve_row(candidate, current)
            case PlatformUnavailable():
                return None

    def _resolve_row(self, candidate: ServiceDocument, row: Row) -> EditResult:
        current = parse_row(row)
        if current is not None and current.change_id == candidate.change_id:
            return self._accept(candidate, row.revision)
        if row.revision <= candidate.revision:
            return self._conflict(candidate, row)
        # The edit may have been accepted as an earlier revision and then
        # replaced by later edits.
        return self._unsettled(
            candidate,
            f'the service is already at revision {row.revision}',
        )

    def _accept(
        self,
        candidate: ServiceDocument,
        revision: int,
    ) -> DocumentAccepted:
        accepted = attrs.evolve(candidate, revision=revision)
        self._store.apply(accepted)
        return DocumentAccepted(accepted)

    def _conflict(self, candidate: ServiceDocument, row: Row) -> Refused:
        current = parse_row(row)
        if current is not None:
            self._store.apply(current)
        return refuse(
            RefusalReason.DOCUMENT_CONFLICT,
            service=candidate.service,
            revision=row.revision,
            expected=candidate.revision - 1,
        )

    def _unsettled(
        self,
        candidate: ServiceDocument,
        problem: str,
    ) -> DocumentUnsettled:
        return DocumentUnsettled(
            service=candidate.service,
            change_id=candidate.change_id,
            message=f'The edit may have been accepted: {problem}',
            remedy=_UNSETTLED_REMEDY,
        )
