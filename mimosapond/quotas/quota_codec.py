"""JSON bodies of the messages about quotas.

Decoders raise KeyError, TypeError or ValueError for a body of another form.
"""

from collections.abc import Mapping
from typing import Any

from mimosapond.quotas.quota_messages import (
    BucketYielded,
    ClaimBucket,
    Greeted,
    Greeting,
    QuotaAnswer,
    QuotaRequest,
    TakeTokens,
    TokensGranted,
)


def encode_request(request: QuotaRequest) -> dict[str, Any]:
    """Return the body of a request."""
    match request:
        case TakeTokens():
            return {
                'host': request.host,
                'workspace': request.workspace,
                'count': request.count,
                'waiting': request.waiting_count,
                'version': request.version,
                'is_forwarded': request.is_forwarded,
            }
        case ClaimBucket():
            return {
                'host': request.host,
                'address': request.address,
                'data_centre': request.data_centre,
                'claim': request.workspace,
                'is_retry': request.is_retry,
            }
        case Greeting(host=host):
            return {'host': host}


def decode_request(body: Mapping[str, Any]) -> QuotaRequest:
    """Return the request of a body."""
    host = str(body['host'])
    claimed = body.get('claim')
    if claimed is not None:
        return ClaimBucket(
            host,
            str(body['address']),
            str(body['data_centre']),
            str(claimed),
            is_retry=body['is_retry'] is True,
        )
    if body.get('workspace') is None:
        return Greeting(host)
    return TakeTokens(
        host,
        str(body['workspace']),
        int(body['count']),
        int(body['waiting']),
        int(body['version']),
        is_forwarded=body['is_forwarded'] is True,
    )


def encode_answer(answer: QuotaAnswer | None) -> dict[str, Any]:
    """Return the body of an answer; it is empty without one."""
    match answer:
        case TokensGranted():
            return {
                'granted': answer.granted_count,
                'retry_after_ms': answer.retry_after_ms,
                'home': answer.home,
            }
        case BucketYielded():
            return {
                'level': answer.level_count,
                'is_claiming': answer.is_claiming,
            }
        case Greeted():
            return {'is_greeted': True}
        case None:
            return {}


def decode_answer(body: Mapping[str, Any]) -> QuotaAnswer | None:
    """Return the answer of a body."""
    granted, is_claiming = body.get('granted'), body.get('is_claiming')
    if granted is not None:
        return TokensGranted(
            int(granted), float(body['retry_after_ms']), str(body['home'])
        )
    if is_claiming is not None:
        level = body['level']
        return BucketYielded(
            None if level is None else float(level), is_claiming is True
        )
    return Greeted() if body.get('is_greeted') else None
