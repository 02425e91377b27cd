"""Builds a correct history and log, and modifies them with violations."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, final

import attrs

from loadtool.history import History
from loadtool.history_events import (
    DocumentSeen,
    HostStopped,
    TargetLeft,
    TermAdopted,
)
from loadtool.history_record import HistoryRecord, RequestKind, Result
from loadtool.surviving_log import LoggedTransaction, SurvivingLog

GROUP: Final = 'forge-0'
_PART_COUNT: Final = 3


def build_record(kind: RequestKind, mark: str, **fields: Any) -> HistoryRecord:
    """Build a completed request answered 0.1 s after it was sent."""
    sent_s = fields.pop('sent_s')
    defaults: dict[str, Any] = {
        'group': GROUP,
        'session': mark.split('.')[0],
        'request_id': f'id-{mark}',
        'host': 'host-0',
        'last_sent_s': sent_s,
        'answered_s': sent_s + 0.1,
        'outcome': Result.COMPLETED,
        'member': 'forge-0-0',
        'part_count': _PART_COUNT,
        'nonces': (mark,),
    }
    return HistoryRecord(
        kind=kind,
        mark=mark,
        sent_s=sent_s,
        **{**defaults, **fields},
    )


def build_entry(position: int, term: int, *marks: str) -> LoggedTransaction:
    """Build a log entry with a complete write for each mark."""
    return LoggedTransaction(
        position=position,
        term=term,
        marks=tuple(mark for mark in marks for _ in range(_PART_COUNT)),
        request_ids=tuple(f'id-{mark}' for mark in marks),
    )


def _build_records() -> dict[str, HistoryRecord]:
    write, read = RequestKind.WRITE, RequestKind.READ
    seen = {'a': 2, 'b': 1}
    pair = ('a.2', 'a.2')
    return {
        'first': build_record(
            write, 'a.1', sent_s=1, sequence=1, token='forge-0:1:2'
        ),
        'second': build_record(
            write, 'a.2', sent_s=5, sequence=2, token='forge-0:2:5'
        ),
        'transaction': build_record(
            RequestKind.TRANSACTION,
            'b.1',
            sent_s=2,
            sequence=1,
            token='forge-0:1:3',
            durability='primary',
        ),
        'refused': build_record(
            write,
            'b.2',
            sent_s=2.5,
            outcome=Result.REFUSED,
            reason='no_primary',
            nonces=(),
        ),
        'rolled_back': build_record(
            RequestKind.TRANSACTION,
            'b.3',
            sent_s=3,
            outcome=Result.ROLLED_BACK,
        ),
        'open': build_record(
            write, 'b.4', sent_s=4, outcome=Result.UNKNOWN, nonces=()
        ),
        'read': build_record(
            read,
            'a.3',
            sent_s=8,
            by_session=True,
            max_age_ms=1000,
            sequences=seen,
            pair=pair,
        ),
        'token_read': build_record(
            read,
            'a.4',
            sent_s=9,
            sent_token='forge-0:2:5',
            max_age_ms=5000,
            data_age_ms=4500,
            sequences=seen,
            pair=pair,
        ),
        'other_session_read': build_record(
            read,
            'c.1',
            sent_s=8.5,
            max_age_ms=4000,
            data_age_ms=4000,
            sequences={'a': 1, 'b': 1},
            pair=('a.1', 'a.1'),
        ),
    }


@final
class SampleRun:
    """Records by name, observations and the log of a run.

    They are correct unless a sample violation modifies them.
    """

    def __init__(self) -> None:
        """Build a run without violations."""
        self.records = _build_records()
        self.entries = [
            build_entry(1, 1),
            build_entry(2, 1, 'a.1'),
            build_entry(3, 1, 'b.1'),
            build_entry(4, 2),
            build_entry(5, 2, 'a.2'),
        ]
        self.history = History()
        self.history.add(TermAdopted(GROUP, 2, 4.5))

    def change(self, name: str, **fields: Any) -> None:
        """Change fields of the record ``name``."""
        self.records[name] = attrs.evolve(self.records[name], **fields)

    def add(self, kind: RequestKind, mark: str, **fields: Any) -> None:
        """Add a record for a further request."""
        self.records[f'{kind} {mark}'] = build_record(kind, mark, **fields)

    def append(self, *marks: str) -> None:
        """Append a log entry in the newest term."""
        self.entries.append(build_entry(len(self.entries) + 1, 2, *marks))

    def log(self) -> SurvivingLog:
        """Return the log after the run."""
        return SurvivingLog(GROUP, self.entries)

    def finish(self) -> History:
        """Add all records to the history and return it."""
        for record in self.records.values():
            self.history.add(record)
        return self.history


def _lose_replicated(sample: SampleRun) -> None:
    sample.entries[1] = build_entry(2, 1)


def _lose_without_change(sample: SampleRun) -> None:
    sample.entries[4] = build_entry(5, 2)
    sample.change('second', durability='primary')


def _mix_transactions(sample: SampleRun) -> None:
    sample.entries[4] = build_entry(5, 2, 'a.2', 'b.4')


def _drop_statement(sample: SampleRun) -> None:
    sample.entries[4] = attrs.evolve(sample.entries[4], marks=('a.2', 'a.2'))


def _add_settlement(
    sample: SampleRun, outcome: Result, reason: str | None
) -> None:
    sample.add(
        RequestKind.SETTLE,
        'b.4',
        sent_s=6,
        outcome=outcome,
        reason=reason,
        nonces=(),
    )


def _run_cancelled(sample: SampleRun) -> None:
    sample.append('b.4')
    _add_settlement(sample, Result.REFUSED, 'request_cancelled')


def _report_false_loss(sample: SampleRun) -> None:
    sample.change(
        'token_read',
        outcome=Result.REFUSED,
        reason='session_write_lost',
        nonces=(),
    )


def _read_from_leaving(sample: SampleRun) -> None:
    sample.history.add(TargetLeft('forge-0-0', 4, 10))


def _interrupt_by_shutdown(sample: SampleRun) -> None:
    sample.history.add(HostStopped('host-0', 4.05, 5))
    sample.change('open', is_broken=True)


def _revert_document(sample: SampleRun) -> None:
    for revision in (3, 2):
        sample.history.add(DocumentSeen('host-0/1', 'forge', revision, 7))


def _acknowledge_in_old_term(sample: SampleRun) -> None:
    sample.add(
        RequestKind.WRITE,
        'c.2',
        sent_s=4.6,
        sequence=1,
        token='forge-0:1:3',
        durability='primary',
    )


def _lose_primary_write(sample: SampleRun) -> None:
    """Lose a write of durability primary and report the loss to a read."""
    sample.entries[2] = build_entry(3, 1)
    sample.add(
        RequestKind.READ,
        'b.5',
        sent_s=7,
        sent_token='forge-0:1:3',
        outcome=Result.REFUSED,
        reason='session_write_lost',
        nonces=(),
    )


SAMPLE_VIOLATIONS: Final[Mapping[str, Callable[[SampleRun], None]]] = (
    MappingProxyType(
        {
            'none': lambda sample: None,
            'a write of durability primary is lost': _lose_primary_write,
            'an open write ran': lambda sample: sample.append('b.4'),
            'a replicated write is lost': _lose_replicated,
            'a write is lost without a change': _lose_without_change,
            'a write ran twice': lambda sample: sample.append('a.1'),
            'an unknown write ran twice': lambda sample: (
                sample.append('b.4'),
                sample.append('b.4'),
            )[0],
            'a refused write ran': lambda sample: sample.append('b.2'),
            'a rolled back transaction ran': lambda sample: sample.append(
                'b.3'
            ),
            'a replaced primary acknowledges': _acknowledge_in_old_term,
            'a token names another entry': lambda sample: sample.change(
                'first', token='forge-0:1:3'
            ),
            'a session read misses its write': lambda sample: sample.change(
                'read', sequences={'a': 1, 'b': 1}, sent_s=5.5, data_age_ms=1000
            ),
            'a token read misses its write': lambda sample: sample.change(
                'token_read', sequences={'a': 1, 'b': 1}
            ),
            'a survived write is reported lost': _report_false_loss,
            'a read is too old': lambda sample: sample.change(
                'other_session_read', max_age_ms=3000, data_age_ms=4000
            ),
            'a read states a wrong age': lambda sample: sample.change(
                'other_session_read', data_age_ms=100
            ),
            'two transactions are mixed': _mix_transactions,
            'a transaction is incomplete': _drop_statement,
            'a read shows half a transaction': lambda sample: sample.change(
                'other_session_read', pair=('a.1', 'b.1')
            ),
            'a read shows a refused write': lambda sample: sample.change(
                'other_session_read', pair=('b.2', 'b.2')
            ),
            'a read gets another answer': lambda sample: sample.change(
                'read', nonces=('c.1',)
            ),
            'a read has no answer': lambda sample: sample.change(
                'read', nonces=()
            ),
            'a cancelled write ran': _run_cancelled,
            'a settled write is missing': lambda sample: _add_settlement(
                sample, Result.COMPLETED, None
            ),
            'a leaving target serves reads': _read_from_leaving,
            'a stopping host breaks a request': _interrupt_by_shutdown,
            'a host reverts its document': _revert_document,
        }
    )
)
