"""Checks a history against the logs that are left after the run.

The checks know nothing of how the product works: they compare what callers
were told with what the logs hold. The load process is the only clock.
"""

import bisect
import collections
import itertools
import operator
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Final

from loadtool.history import History
from loadtool.history_claims import Claim, Claims
from loadtool.history_record import HistoryRecord, RequestKind
from loadtool.history_reads import ReadChecker
from loadtool.history_settings import LEAVING_LIMIT_S
from loadtool.surviving_log import LoggedTransaction, SurvivingLog
from loadtool.violation import Rule, Violation
from mimosapond.token import Token

_DURABLE: Final = 'replicated'
_IS_ACKNOWLEDGED: Final = operator.attrgetter('is_acknowledged')
_RULES_IF_THERE: Final = MappingProxyType(
    {
        Claim.REFUSED: Rule.RAN_AFTER_REFUSAL,
        Claim.ROLLED_BACK: Rule.RAN_AFTER_ROLLBACK,
        Claim.CANCELLED: Rule.WRONG_SETTLEMENT,
    }
)
_RULES_IF_MISSING: Final = MappingProxyType(
    {Claim.SETTLED: Rule.WRONG_SETTLEMENT}
)


def check_history(
    history: History,
    logs: Mapping[str, SurvivingLog],
) -> list[Violation]:
    """Return all violations of a finished run.

    Parameters
    ----------
    history
        What the callers and the observers saw.
    logs
        The surviving log of each group, read after all faults ended.
    """
    found: list[Violation] = []
    for group, log in logs.items():
        records = [one for one in history.records if one.group == group]
        claims = Claims(records)
        found.extend(_check_log(log, claims))
        found.extend(_check_claims(log, claims))
        found.extend(_check_acknowledged(log, records))
        found.extend(_check_terms(history, group, records))
        found.extend(_check_answers(records))
        found.extend(ReadChecker(log, claims, records).violations())
    found.extend(_check_departures(history))
    found.extend(_check_stops(history))
    found.extend(_check_documents(history))
    return found


def count_lost(history: History, logs: Mapping[str, SurvivingLog]) -> int:
    """Count acknowledged writes that a change of primary lost."""
    return sum(
        not logs[one.group].has_mark(one.mark)
        for one in history.records
        if one.is_acknowledged and one.durability != _DURABLE
    )


def _check_log(log: SurvivingLog, claims: Claims) -> Iterator[Violation]:
    for mark, positions in log.positions.items():
        known = claims.by_mark.get(mark)
        if known is None:
            continue
        if len(positions) > 1:
            yield Violation(Rule.TWICE, f'{mark} at {positions}', known)
        entry = log.entries[positions[0] - 1]
        if not _is_whole(entry, mark, known[0]):
            yield Violation(Rule.TORN, f'{mark} in {entry}', known)


def _is_whole(
    entry: LoggedTransaction,
    mark: str,
    record: HistoryRecord,
) -> bool:
    if set(entry.marks) != {mark}:
        return False
    return len(entry.marks) == record.part_count


def _check_claims(log: SurvivingLog, claims: Claims) -> Iterator[Violation]:
    for mark, known in claims.by_mark.items():
        rules = _RULES_IF_MISSING
        if log.has_mark(mark):
            rules = _RULES_IF_THERE
        rule = rules.get(claims.claim(mark))
        if rule is not None:
            yield Violation(rule, mark, known)


def _check_acknowledged(
    log: SurvivingLog,
    records: Iterable[HistoryRecord],
) -> Iterator[Violation]:
    for one in filter(_IS_ACKNOWLEDGED, records):
        token = Token.parse(one.token or '')
        rule: Rule | None = Rule.WRONG_TOKEN
        if token is not None:
            rule = _judge_token(log, one, token)
        if rule is not None:
            yield Violation(rule, f'{one.mark} at {one.token}', (one,))


def _is_at(log: SurvivingLog, one: HistoryRecord, token: Token) -> bool:
    if not log.holds(token.term, token.position):
        return False
    return token.position in log.positions[one.mark]


def _judge_token(
    log: SurvivingLog,
    one: HistoryRecord,
    token: Token,
) -> Rule | None:
    if log.has_mark(one.mark):
        is_right = one.is_replayed or _is_at(log, one, token)
        return None if is_right else Rule.WRONG_TOKEN
    if one.durability == _DURABLE:
        return Rule.LOST_WRITE
    return None if log.was_replaced(token.term) else Rule.LOST_WITHOUT_CHANGE


def _check_terms(
    history: History,
    group: str,
    records: Iterable[HistoryRecord],
) -> Iterator[Violation]:
    known = [
        (one.seen_s, one.term) for one in history.terms if one.group == group
    ]
    acknowledged = [one for one in records if one.is_acknowledged]
    known.extend((one.answered_s, _term(one)) for one in acknowledged)
    known.sort()
    newest = list(itertools.accumulate((term for _, term in known), max))
    times = [seen_s for seen_s, _ in known]
    for one in acknowledged:
        before = bisect.bisect_left(times, one.last_sent_s)
        if before and newest[before - 1] > _term(one):
            subject = f'term {newest[before - 1]} was in force'
            yield Violation(Rule.REPLACED_PRIMARY, subject, (one,))


def _term(one: HistoryRecord) -> int:
    token = Token.parse(one.token or '')
    return 0 if token is None else token.term


def _check_answers(records: Iterable[HistoryRecord]) -> Iterator[Violation]:
    for one in records:
        if any(nonce != one.mark for nonce in one.nonces):
            yield Violation(Rule.WRONG_ANSWER, str(one.nonces), (one,))
        elif not one.nonces and _needs_nonce(one):
            yield Violation(Rule.WRONG_ANSWER, 'it has no results', (one,))


def _needs_nonce(one: HistoryRecord) -> bool:
    is_answer = one.kind in {RequestKind.READ, RequestKind.WRITE}
    return is_answer and one.outcome == 'completed'


def _check_departures(history: History) -> Iterator[Violation]:
    for left in history.departures:
        for one in history.records:
            is_during = (
                left.begin_s + LEAVING_LIMIT_S < one.sent_s
                and one.answered_s < left.end_s
            )
            is_served = one.kind is RequestKind.READ and bool(one.member)
            if is_during and is_served and one.member == left.member:
                yield Violation(Rule.LEAVING_TARGET, left.member, (one,))


def _check_stops(history: History) -> Iterator[Violation]:
    for stop in history.stops:
        for one in history.records:
            is_hit = one.sent_s < stop.asked_s < one.answered_s
            if is_hit and one.is_broken and one.host == stop.host:
                yield Violation(Rule.SHUTDOWN, stop.host, (one,))


def _check_documents(history: History) -> Iterator[Violation]:
    newest: dict[tuple[str, str], int] = collections.defaultdict(int)
    for seen in history.documents:
        key = (seen.process, seen.service)
        if seen.revision < newest[key]:
            subject = f'{seen}, after revision {newest[key]}'
            yield Violation(Rule.REVERTED_DOCUMENT, subject)
        newest[key] = max(newest[key], seen.revision)
