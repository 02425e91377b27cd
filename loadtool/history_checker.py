"""Checks the history of a run against the database logs after the run.

The checks don't depend on the implementation of the product: they compare the
answers that callers received with the contents of the logs. All times come
from the monotonic clock of the load process.
"""

import bisect
import collections
import itertools
import operator
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Final

from loadtool.history import History
from loadtool.reported_outcomes import ReportedOutcome, ReportedOutcomes
from loadtool.history_record import HistoryRecord, RequestKind
from loadtool.history_read_checker import ReadChecker
from loadtool.history_limits import DRAIN_REACTION_LIMIT_S
from loadtool.surviving_log import LoggedTransaction, SurvivingLog
from loadtool.violation import Rule, Violation
from mimosapond.token import Token

_DURABLE: Final = 'replicated'
_IS_ACKNOWLEDGED: Final = operator.attrgetter('is_acknowledged')
_RULES_IF_IN_LOG: Final = MappingProxyType(
    {
        ReportedOutcome.REFUSED: Rule.RAN_AFTER_REFUSAL,
        ReportedOutcome.ROLLED_BACK: Rule.RAN_AFTER_ROLLBACK,
        ReportedOutcome.CANCELLED: Rule.WRONG_SETTLEMENT,
    }
)
_RULES_IF_NOT_IN_LOG: Final = MappingProxyType(
    {ReportedOutcome.SETTLED: Rule.WRONG_SETTLEMENT}
)


def check_history(
    history: History,
    logs: Mapping[str, SurvivingLog],
) -> list[Violation]:
    """Return all violations of a finished run.

    Parameters
    ----------
    history
        Requests with their answers, and observations of members and hosts.
    logs
        The surviving log by group name, read after all faults ended.

    Returns
    -------
    list[Violation]
        One entry for each broken rule and subject; empty if no rule is broken.
    """
    found: list[Violation] = []
    for group, log in logs.items():
        records = [
            record for record in history.records if record.group == group
        ]
        reported = ReportedOutcomes(records)
        found.extend(_check_log(log, reported))
        found.extend(_check_reported_outcomes(log, reported))
        found.extend(_check_acknowledged(log, records))
        found.extend(_check_terms(history, group, records))
        found.extend(_check_answers(records))
        found.extend(ReadChecker(log, reported, records).violations())
    found.extend(_check_leaving_targets(history))
    found.extend(_check_graceful_shutdowns(history))
    found.extend(_check_documents(history))
    return found


def count_lost(history: History, logs: Mapping[str, SurvivingLog]) -> int:
    """Count the acknowledged writes that are missing from the logs.

    Writes of durability ``replicated`` are not counted: their loss is a
    violation. Writes of durability ``primary`` may be lost when the primary
    changes.
    """
    return sum(
        not logs[record.group].has_mark(record.mark)
        for record in history.records
        if record.is_acknowledged and record.durability != _DURABLE
    )


def _check_log(
    log: SurvivingLog, reported: ReportedOutcomes
) -> Iterator[Violation]:
    for mark, positions in log.positions.items():
        writes = reported.by_mark.get(mark)
        if writes is None:
            continue
        if len(positions) > 1:
            yield Violation(Rule.TWICE, f'{mark} at {positions}', writes)
        entry = log.entries[positions[0] - 1]
        if not _is_complete(entry, mark, writes[0]):
            yield Violation(Rule.TORN, f'{mark} in {entry}', writes)


def _is_complete(
    entry: LoggedTransaction,
    mark: str,
    record: HistoryRecord,
) -> bool:
    if set(entry.marks) != {mark}:
        return False
    return len(entry.marks) == record.part_count


def _check_reported_outcomes(
    log: SurvivingLog, reported: ReportedOutcomes
) -> Iterator[Violation]:
    for mark, writes in reported.by_mark.items():
        rules = _RULES_IF_NOT_IN_LOG
        if log.has_mark(mark):
            rules = _RULES_IF_IN_LOG
        rule = rules.get(reported.reported_outcome(mark))
        if rule is not None:
            yield Violation(rule, mark, writes)


def _check_acknowledged(
    log: SurvivingLog,
    records: Iterable[HistoryRecord],
) -> Iterator[Violation]:
    for record in filter(_IS_ACKNOWLEDGED, records):
        token = Token.parse(record.token or '')
        rule: Rule | None = Rule.WRONG_TOKEN
        if token is not None:
            rule = _find_token_violation(log, record, token)
        if rule is not None:
            yield Violation(rule, f'{record.mark} at {record.token}', (record,))


def _is_at_position(
    log: SurvivingLog, record: HistoryRecord, token: Token
) -> bool:
    if not log.has_entry(token.term, token.position):
        return False
    return token.position in log.positions[record.mark]


def _find_token_violation(
    log: SurvivingLog,
    record: HistoryRecord,
    token: Token,
) -> Rule | None:
    if log.has_mark(record.mark):
        is_correct = record.is_replayed or _is_at_position(log, record, token)
        return None if is_correct else Rule.WRONG_TOKEN
    if record.durability == _DURABLE:
        return Rule.LOST_WRITE
    return None if log.has_newer_term(token.term) else Rule.LOST_WITHOUT_CHANGE


def _check_terms(
    history: History,
    group: str,
    records: Iterable[HistoryRecord],
) -> Iterator[Violation]:
    """Find writes acknowledged by a primary that had already been replaced.

    A term is known to be in force once a majority was seen at it or a write of
    it was acknowledged. Writes sent after that moment must not be acknowledged
    in a lower term.
    """
    seen_terms = [
        (adopted.seen_s, adopted.term)
        for adopted in history.terms
        if adopted.group == group
    ]
    acknowledged = [record for record in records if record.is_acknowledged]
    seen_terms.extend(
        (record.answered_s, _term(record)) for record in acknowledged
    )
    seen_terms.sort()
    newest = list(itertools.accumulate((term for _, term in seen_terms), max))
    times = [seen_s for seen_s, _ in seen_terms]
    for record in acknowledged:
        before = bisect.bisect_left(times, record.last_sent_s)
        if before and newest[before - 1] > _term(record):
            subject = f'term {newest[before - 1]} was in force'
            yield Violation(Rule.REPLACED_PRIMARY, subject, (record,))


def _term(record: HistoryRecord) -> int:
    token = Token.parse(record.token or '')
    return 0 if token is None else token.term


def _check_answers(records: Iterable[HistoryRecord]) -> Iterator[Violation]:
    for record in records:
        if any(nonce != record.mark for nonce in record.nonces):
            yield Violation(Rule.WRONG_ANSWER, str(record.nonces), (record,))
        elif not record.nonces and _needs_nonce(record):
            yield Violation(
                Rule.WRONG_ANSWER, 'the answer has no results', (record,)
            )


def _needs_nonce(record: HistoryRecord) -> bool:
    has_results = record.kind in {RequestKind.READ, RequestKind.WRITE}
    return has_results and record.outcome == 'completed'


def _check_leaving_targets(history: History) -> Iterator[Violation]:
    for left in history.departures:
        for record in history.records:
            is_during = (
                left.begin_s + DRAIN_REACTION_LIMIT_S < record.sent_s
                and record.answered_s < left.end_s
            )
            is_served_read = record.kind is RequestKind.READ and bool(
                record.member
            )
            if is_during and is_served_read and record.member == left.member:
                yield Violation(Rule.LEAVING_TARGET, left.member, (record,))


def _check_graceful_shutdowns(history: History) -> Iterator[Violation]:
    for stop in history.stops:
        for record in history.records:
            was_in_flight = record.sent_s < stop.asked_s < record.answered_s
            if was_in_flight and record.is_broken and record.host == stop.host:
                yield Violation(Rule.SHUTDOWN, stop.host, (record,))


def _check_documents(history: History) -> Iterator[Violation]:
    newest: dict[tuple[str, str], int] = collections.defaultdict(int)
    for seen in history.documents:
        key = (seen.process, seen.service)
        if seen.revision < newest[key]:
            subject = f'{seen}, after revision {newest[key]}'
            yield Violation(Rule.REVERTED_DOCUMENT, subject)
        newest[key] = max(newest[key], seen.revision)
