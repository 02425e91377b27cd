"""The file form of a service document, for the operator interface."""

import json
from typing import Any, Final

import yaml

from mimosapond.codec import dump_json, encode
from mimosapond.document_loader import SCHEMA_VERSION
from mimosapond.service_document import ServiceDocument

# Set by the system when an edit is accepted; not a part of the file.
_SYSTEM_FIELDS: Final = ('revision', 'change_id')


def document_body(document: ServiceDocument) -> dict[str, Any]:
    """Return the fields that an operator writes, as JSON."""
    fields = encode(document)
    for name in _SYSTEM_FIELDS:
        fields.pop(name)
    return {'schema_version': SCHEMA_VERSION, **fields}


def document_text(document: ServiceDocument) -> str:
    """Return the document as YAML that ``document apply`` accepts."""
    # Through JSON, since PyYAML's safe dumper has no form for tuples.
    body = json.loads(dump_json(document_body(document)))
    return str(yaml.safe_dump(body, sort_keys=False))
