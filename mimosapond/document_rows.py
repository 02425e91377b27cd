"""Converts service documents to rows of the platform's table and back."""

from collections.abc import Mapping
from typing import Any, Final

import attrs
import cattrs
from loguru import logger

from mimosapond.codec import decode, describe_errors, encode
from mimosapond.platform_results import Row
from mimosapond.service_document import ServiceDocument

DOCUMENT_PREFIX: Final = 'documents/'


def document_key(service: str) -> str:
    """Return the key of the row that holds the document of ``service``."""
    return f'{DOCUMENT_PREFIX}{service}'


def document_payload(document: ServiceDocument) -> dict[str, Any]:
    """Return the JSON form of a document."""
    return encode(document)


def parse_document(payload: Mapping[str, Any]) -> ServiceDocument | None:
    """Return the document in ``payload``; None if it is malformed.

    A malformed document is logged instead of raising an error, so that it does
    not keep the documents of other services from being applied.
    """
    try:
        return decode(ServiceDocument, payload)
    except cattrs.BaseValidationError as error:
        problems = describe_errors(error)
        logger.bind(problems=problems).error('document_unreadable')
        return None


def parse_row(row: Row) -> ServiceDocument | None:
    """Return the document with the row's revision.

    None for an absent row and for a malformed document.
    """
    if row.payload is None:
        return None
    document = parse_document(row.payload)
    if document is None:
        return None
    return attrs.evolve(document, revision=row.revision)
